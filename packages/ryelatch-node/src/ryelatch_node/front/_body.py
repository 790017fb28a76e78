"""Limits on the size of requests and on the time to receive them."""

import asyncio
from http import HTTPStatus

from starlette.requests import ClientDisconnect, Request

from ryelatch_node.front._errors import refuse

MAX_BODY_BYTES = 2_097_152
MAX_HEADERS_BYTES = 32_768
MAX_BODY_SECONDS = 10.0


def check_headers(request: Request) -> None:
    """Refuse a request whose headers are too large.

    :raises CallerError: with 431 if they exceed ``MAX_HEADERS_BYTES``.
    """
    size = sum(len(name) + len(text) for name, text in request.headers.raw)
    if size > MAX_HEADERS_BYTES:
        raise refuse(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            'headers_too_large',
            f'At most {MAX_HEADERS_BYTES} bytes.',
        )


async def read_body(request: Request) -> bytes:
    """Read the complete body of a request.

    The time is limited, because a client that sends one byte a minute
    occupies a connection and memory: without the limit, such clients fill a
    node with idle requests.

    :raises CallerError: if the body is too large, too slow or incomplete.
    """
    body = bytearray()
    try:
        async with asyncio.timeout(MAX_BODY_SECONDS):
            async for chunk in request.stream():
                body += chunk
                if len(body) > MAX_BODY_BYTES:
                    raise refuse(
                        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                        'body_too_large',
                        f'At most {MAX_BODY_BYTES} bytes.',
                    )
    except TimeoutError:
        raise refuse(
            HTTPStatus.REQUEST_TIMEOUT,
            'body_too_slow',
            f'The body took over {MAX_BODY_SECONDS} s.',
        ) from None
    except ClientDisconnect:
        raise refuse(
            HTTPStatus.BAD_REQUEST, 'body_cut_off', 'The body is incomplete.'
        ) from None
    return bytes(body)
