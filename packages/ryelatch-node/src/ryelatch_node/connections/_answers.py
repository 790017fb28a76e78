"""Bodies of answers: where they end, and how long they may be."""

from http import HTTPStatus

import aiohttp

_WITHOUT_BODY = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class EndlessAnswer(aiohttp.ClientPayloadError):
    """A part of an answer is longer than it may be."""


async def read_bounded(response: aiohttp.ClientResponse, size: int) -> bytes:
    """Read a complete body.

    :param size: bytes that it may have.
    :raises EndlessAnswer: if it is longer; the connection is then closed.
    """
    pieces: list[bytes] = []
    async for piece in response.content.iter_any():
        pieces.append(piece)
        size -= len(piece)
        if size < 0:
            response.close()
            raise EndlessAnswer('body without end')
    return b''.join(pieces)


def has_framing(response: aiohttp.ClientResponse) -> bool:
    """Whether an answer states where its body ends, or has no body.

    Any other ends with its connection. So does a part of it if the process
    that sends it is killed: its system closes the connection in order.
    """
    if response.method == 'HEAD' or response.status in _WITHOUT_BODY:
        return True
    coding = response.headers.get('Transfer-Encoding')
    if coding is None:
        return 'Content-Length' in response.headers
    return coding.lower().rpartition(',')[2].strip() == 'chunked'
