"""The HTTP client that sends requests to upstreams."""

import functools
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import TypeAlias

import aiohttp
from aiohttp.client_proto import ResponseHandler
from yarl import URL

from ryelatch_core.fleet import Replica
from ryelatch_core.membership import CONNECT_TIMEOUT_SECONDS
from ryelatch_node.ports import AnswerMetadata, HeaderCodec, Headers
from ryelatch_node.relay._errors import SendError, SendErrorKind

IDLE_SECONDS = 4.0
"""Keep-alive timeout of pooled connections.

A first replica receives a stream every 200 ms, so most streams find an open
connection. If an upstream closes idle connections sooner, a request may fail
and be repeated, where its route allows that.
"""

_SKIPPED_HEADERS = ('Accept', 'Accept-Encoding', 'Content-Type', 'User-Agent')
_CONNECT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


AnswerHook: TypeAlias = Callable[[Replica, AnswerMetadata], None]
"""Handles what an answer states about the replica that sent it."""


class _StrictHandler(ResponseHandler):
    """Reports a reset connection as an error for bodies without a length.

    A body without a length ends when its connection is closed. After a reset
    the parser would take the part that has arrived for the complete body, and
    so would the client.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Set an error on a body that is incomplete after a reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(str(exc)))
        super().connection_lost(exc)


class Answer:
    """An answer of an upstream whose status and headers have arrived.

    :param terms: what the headers state about the request and the replica.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        terms: AnswerMetadata,
    ) -> None:
        self.status = response.status
        self.headers: Headers = [
            (name.lower(), content) for name, content in response.raw_headers
        ]
        self.terms = terms
        self._response = response

    async def read(self) -> bytes:
        """Read the complete body.

        :raises SendError: if the connection fails before the body is complete.
        """
        try:
            return await self._response.read()
        except (aiohttp.ClientError, OSError) as error:
            raise SendError(SendErrorKind.LOST, _name_error(error)) from error

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they arrive.

        :raises SendError: if the connection fails before the body is complete.
        """
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except (aiohttp.ClientError, OSError) as error:
            raise SendError(SendErrorKind.LOST, _name_error(error)) from error


class Upstreams:
    """Sends requests to upstreams over pooled or single-use connections.

    :param on_answer: is called for each answer that is accepted.
    """

    def __init__(self, wire: HeaderCodec, on_answer: AnswerHook) -> None:
        self._wire = wire
        self._on_answer = on_answer
        self._pooled: aiohttp.ClientSession | None = None
        self._single_use: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the sessions for pooled and for single-use connections."""
        self._pooled = _open_session(keepalive_timeout=IDLE_SECONDS)
        self._single_use = _open_session(force_close=True)

    async def stop(self) -> None:
        """Close all connections."""
        for session in filter(None, (self._pooled, self._single_use)):
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
        """Send a request and wait for the status and headers of its answer.

        An upstream may close a pooled connection while a request is written
        to it, and then it is unknown whether the request ran. So only
        repeatable requests use pooled connections.

        :param target: path and query, byte for byte.
        :param identity: that the answer must carry.
        :param repeatable: whether the request may run more than once.
        :raises SendError: if no usable answer arrives.
        """
        session = self._pooled if repeatable else self._single_use
        assert session is not None
        url = URL(f'http://{replica.address}{target}', encoded=True)
        try:
            response = await session.request(
                method,
                url,
                data=body,
                headers=headers,
                skip_auto_headers=_SKIPPED_HEADERS,
                allow_redirects=False,
            )
        except _CONNECT_ERRORS as error:
            raise SendError(SendErrorKind.UNSENT, _name_error(error)) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise SendError(SendErrorKind.LOST, _name_error(error)) from error
        try:
            answer = self._check_answer(response, identity)
            self._on_answer(replica, answer.terms)
            yield answer
        finally:
            # Closing cancels the request at the upstream. After a complete
            # body the connection has returned to its pool and stays open.
            response.close()

    def _check_answer(
        self,
        response: aiohttp.ClientResponse,
        identity: str,
    ) -> Answer:
        """Check that an answer belongs to the request.

        A late or second answer to an older request can arrive on a connection
        that is used for the next one. It is detected by its identity; if it
        were passed on, one client would receive the data of another.

        :raises SendError: if the answer belongs to another request, or its
            body is encoded.
        """
        headers = [
            (name.lower(), entry) for name, entry in response.raw_headers
        ]
        terms = self._wire.read_answer(response.status, headers)
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
    """Open a client session without a limit on the number of connections.

    It keeps no cookies, leaves bodies encoded, and limits the time to connect
    but not the time of a request.

    :param keepalive_timeout: seconds for which an idle connection is kept;
        ``None`` only with ``force_close``, where it has no effect.
    :param force_close: whether each connection is used for one request only.
    """
    if force_close:
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
    else:
        connector = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=keepalive_timeout
        )
    # The library has no public way to set another protocol class.
    connector._factory = functools.partial(  # type: ignore[assignment]
        _StrictHandler, loop=connector._loop
    )
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
        ),
    )
    # aiohttp's own retry is off: the relay decides on retries, counts and logs
    # them.
    session._retry_connection = False
    return session


def _name_error(error: BaseException) -> str:
    return type(error).__name__
