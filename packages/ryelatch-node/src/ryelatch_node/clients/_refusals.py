"""Answers to clients that are refused before their request is served."""

import json
from http import HTTPStatus

from starlette.types import ASGIApp, Receive, Scope, Send

RETRY_AFTER_SECONDS = 0.5
"""Retry-After of a node without room; the retry reaches another one."""

NO_ROOM = 'this node has no room'


def render_refusal(status: HTTPStatus, reason: str) -> bytes:
    """Render an answer that ends its connection."""
    lines = (
        f'HTTP/1.1 {status.value} {status.phrase}'.encode(),
        *(b': '.join(pair) for pair in _list_headers(status, reason)),
        b'connection: close',
        b'',
        _make_body(reason),
    )
    return b'\r\n'.join(lines)


def make_refusing_app(status: HTTPStatus, reason: str) -> ASGIApp:
    """Make an application that refuses a request."""

    async def refuse(scope: Scope, receive: Receive, send: Send) -> None:
        await send(
            {
                'type': 'http.response.start',
                'status': status.value,
                'headers': _list_headers(status, reason),
            }
        )
        await send({'type': 'http.response.body', 'body': _make_body(reason)})

    return refuse


def _make_body(reason: str) -> bytes:
    return json.dumps({'error': reason}).encode()


def _list_headers(status: HTTPStatus, reason: str) -> list[tuple[bytes, bytes]]:
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', str(len(_make_body(reason))).encode()),
    ]
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        text = f'{RETRY_AFTER_SECONDS:.2f}'.encode()
        headers.append((b'retry-after', text))
    return headers
