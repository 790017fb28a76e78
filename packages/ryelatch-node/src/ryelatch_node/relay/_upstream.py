"""The HTTP client towards upstreams."""

import functools
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import TypeAlias

import aiohttp
from aiohttp.client_proto import ResponseHandler
from yarl import URL

from ryelatch_core.fleet import Replica
from ryelatch_core.membership import CONNECT_TIMEOUT_SECONDS
from ryelatch_node.ports import AnswerTerms, Headers, Wire
from ryelatch_node.relay._errors import SendError, SendErrorKind

IDLE_SECONDS = 4.0
"""How long an unused connection is kept.

Streams come every 200 ms to a first replica, so most find one. Upstreams
that close idle ones sooner cost a repeat, where a repeat is allowed.
"""

_SKIPPED = ('Accept', 'Accept-Encoding', 'Content-Type', 'User-Agent')
_CONNECT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


AnswerHook: TypeAlias = Callable[[Replica, AnswerTerms], None]
"""Takes what an answer says of the replica that was asked."""


class _StrictHandler(ResponseHandler):
    """Takes a reset for an error also where the body has no length.

    Without a length a body ends with its connection. When that is reset the
    parser takes what has come for the whole body, and the client would get
    a part that looks complete.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Mark a body that was still being read as broken."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(str(exc)))
        super().connection_lost(exc)


class Answer:
    """An upstream's answer whose head has come."""

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        terms: AnswerTerms,
    ) -> None:
        self.status = response.status
        self.headers: Headers = [
            (name.lower(), content) for name, content in response.raw_headers
        ]
        self.terms = terms
        self._response = response

    async def read(self) -> bytes:
        """Read the whole body.

        :raises SendError: if it ends early.
        """
        try:
            return await self._response.read()
        except (aiohttp.ClientError, OSError) as error:
            raise SendError(SendErrorKind.LOST, _name(error)) from error

    async def iterate(self) -> AsyncIterator[bytes]:
        """Read the body as it comes.

        :raises SendError: if it ends early.
        """
        try:
            async for piece in self._response.content.iter_any():
                yield piece
        except (aiohttp.ClientError, OSError) as error:
            raise SendError(SendErrorKind.LOST, _name(error)) from error


class Upstreams:
    """Connections to upstreams; some are kept, some are used once.

    :param on_answer: takes what each answer says of its replica.
    """

    def __init__(self, wire: Wire, on_answer: AnswerHook) -> None:
        self._wire = wire
        self._on_answer = on_answer
        self._kept: aiohttp.ClientSession | None = None
        self._single: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Make the pools."""
        self._kept = _open_session(keepalive_timeout=IDLE_SECONDS)
        self._single = _open_session(force_close=True)

    async def stop(self) -> None:
        """Close all connections."""
        for session in filter(None, (self._kept, self._single)):
            await session.close()

    @asynccontextmanager
    async def send(
        self,
        replica: Replica,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes | None,
        *,
        identity: str,
        repeatable: bool,
    ) -> AsyncIterator[Answer]:
        """Send a request and wait for the head of its answer.

        A kept connection may be closed by the upstream just when a request
        is written to it, and nobody can tell whether it ran. So only what
        may be repeated goes over kept connections.

        :param target: path and query, byte for byte.
        :raises SendError: if no usable answer comes.
        """
        session = self._kept if repeatable else self._single
        assert session is not None
        url = URL(f'http://{replica.address}{target}', encoded=True)
        try:
            response = await session.request(
                method,
                url,
                data=body,
                headers=headers,
                skip_auto_headers=_SKIPPED,
                allow_redirects=False,
            )
        except _CONNECT_ERRORS as error:
            raise SendError(SendErrorKind.UNSENT, _name(error)) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise SendError(SendErrorKind.LOST, _name(error)) from error
        try:
            answer = self._accept(response, identity)
            self._on_answer(replica, answer.terms)
            yield answer
        finally:
            # Closing cancels the work at the upstream; after a whole body
            # the connection is back in its pool already and stays open.
            response.close()

    def _accept(
        self,
        response: aiohttp.ClientResponse,
        identity: str,
    ) -> Answer:
        """Check that an answer belongs to the request.

        A late or second answer to an older request can come on the same
        connection, where the next is expected. Its identity tells; passing
        it on would show one client what another asked for.
        """
        raw = [(name.lower(), entry) for name, entry in response.raw_headers]
        terms = self._wire.read_answer(response.status, raw)
        if terms.identity != identity and (terms.identity or terms.signed):
            raise SendError(SendErrorKind.INVALID, 'answer to another request')
        if terms.encoded:
            raise SendError(SendErrorKind.INVALID, 'encoded body')
        return Answer(response, terms)


def _open_session(
    *,
    keepalive_timeout: float | None = None,
    force_close: bool = False,
) -> aiohttp.ClientSession:
    if force_close:
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
    else:
        connector = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=keepalive_timeout
        )
    # The library has no public place for a stricter protocol.
    connector._factory = functools.partial(  # type: ignore[assignment]
        _StrictHandler, loop=connector._loop
    )
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS),
    )
    # Repeats are decided, counted and logged by the relay alone.
    session._retry_connection = False
    return session


def _name(error: BaseException) -> str:
    return type(error).__name__
