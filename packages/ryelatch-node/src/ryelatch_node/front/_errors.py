"""Error responses, in the format that clients' libraries parse."""

import math
from collections.abc import Mapping

import msgspec
from starlette.responses import Response

from ryelatch_core.outcomes import OUTCOME_HEADER, Failure, Outcome


class CallerError(Exception):
    """Raised to answer a request with an error.

    :param failure: what the response reports to the client.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure


def refuse(status: int, code: str, message: str) -> CallerError:
    """Make the error for an invalid request, which was not run."""
    return CallerError(Failure(status, code, message, Outcome.NOT_RUN))


def encode_failure(failure: Failure) -> bytes:
    """Encode the body of an error response as JSON."""
    return msgspec.json.encode(
        {
            'error': {
                'message': failure.message,
                'type': failure.kind,
                'param': None,
                'code': failure.code,
                'outcome': failure.outcome,
            }
        }
    )


def respond_failure(
    failure: Failure,
    headers: Mapping[str, str],
) -> Response:
    """Make an error response, with ``Retry-After`` if a retry may succeed."""
    all_headers = dict(headers) | {OUTCOME_HEADER: failure.outcome.value}
    if failure.retry_after is not None:
        all_headers['retry-after'] = str(math.ceil(failure.retry_after))
    return Response(
        encode_failure(failure),
        failure.status,
        all_headers,
        media_type='application/json',
    )
