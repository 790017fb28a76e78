"""Outcomes of requests."""

import enum
from dataclasses import dataclass

OUTCOME_HEADER = 'x-ryelatch-outcome'
REQUEST_HEADER = 'x-ryelatch-request'


class Outcome(enum.StrEnum):
    """What became of a request; each ends in exactly one."""

    COMPLETE = 'complete'
    """The whole answer was given."""

    NOT_RUN = 'not-run'
    """No upstream ran any of it, for certain: it may be repeated."""

    UNKNOWN = 'unknown'
    """It may have run, and its answer is lost."""

    FAILED = 'failed'
    """It ran, or was looked at, and the answer is a refusal."""


@dataclass(frozen=True)
class Failure:
    """A final answer other than the one asked for.

    :param status: HTTP status.
    :param code: machine-readable reason, in the error's ``code``.
    :param message: what a person reads.
    :param outcome: what became of the request.
    :param retry_after: seconds after which asking again makes sense.
    """

    status: int
    code: str
    message: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after: float | None = None
    kind: str = 'invalid_request_error'
