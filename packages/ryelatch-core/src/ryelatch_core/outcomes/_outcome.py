"""Outcomes of requests, and error responses."""

import enum
from dataclasses import dataclass

OUTCOME_HEADER = 'x-ryelatch-outcome'
"""Response header with the outcome of the request."""

REQUEST_HEADER = 'x-ryelatch-request'
"""Header with the identity of the request."""


class Outcome(enum.StrEnum):
    """Outcome of a request; each request has exactly one."""

    COMPLETE = 'complete'
    """The client received the complete answer."""

    NOT_RUN = 'not-run'
    """No upstream has run any part of it, so it may be repeated safely."""

    UNKNOWN = 'unknown'
    """It may have run, and its answer is lost."""

    FAILED = 'failed'
    """It was run or examined, and the answer is an error."""


@dataclass(frozen=True)
class Failure:
    """An error response to a request.

    :param status: HTTP status.
    :param code: machine-readable reason, in the error's ``code``.
    :param message: text for people.
    :param outcome: outcome of the request.
    :param retry_after: seconds after which the client should try again.
    :param kind: category of the error, in its ``type``.
    """

    status: int
    code: str
    message: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after: float | None = None
    kind: str = 'invalid_request_error'
