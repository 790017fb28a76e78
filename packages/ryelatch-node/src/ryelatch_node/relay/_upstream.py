"""The HTTP client that sends requests to upstreams."""

import asyncio
import contextvars
import itertools
import socket
from collections import defaultdict
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol, TypeAlias

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import AddrInfoType, Connection
from yarl import URL

from ryelatch_core.fleet import Replica
from ryelatch_core.kernel import Clock
from ryelatch_core.membership import CONNECT_TIMEOUT_SECONDS
from ryelatch_node.connections import (
    MAX_HEAD_BYTES,
    BoundedConnector,
    EndlessAnswer,
    SurplusHook,
    has_framing,
    read_bounded,
)
from ryelatch_node.ports import AnswerMetadata, HeaderCodec, Headers
from ryelatch_node.relay._end_checks import AnswerEnd
from ryelatch_node.relay._errors import (
    REPLICA_LEFT,
    SendError,
    SendErrorKind,
)

IDLE_SECONDS = 4.0
"""Keep-alive timeout of pooled connections.

A first replica receives a stream every 200 ms, so most streams find an open
connection. If an upstream closes idle connections sooner, a request may fail
and be repeated, where its route allows that.
"""

MAX_ERROR_BYTES = 1_048_576
"""Longest body of an error that a replica of the model answers with."""

READ_BUFFER_BYTES = 16_384
"""Bytes of an answer that wait for its client before its upstream has to."""

WINDOW_BYTES = 16_384
"""Bytes that an upstream may send ahead; the system allows twice as many.

They are read at once, for all answers whose clients read nothing.
"""

_SKIPPED_HEADERS = ('Accept', 'Accept-Encoding', 'Content-Type', 'User-Agent')
_CONNECT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)

SLOW_CONNECT_SECONDS = 0.1
"""Time after which a connection that isn't established counts as failed.

It takes 2 to 6 ms. The attempt itself goes on for ``CONNECT_TIMEOUT_SECONDS``.
"""


AnswerHook: TypeAlias = Callable[[Replica, AnswerMetadata], None]
"""Handles what an answer states about the replica that sent it."""

ContactHook: TypeAlias = Callable[[str], None]
"""Handles a connection to a replica at an address that succeeded or failed."""


class EndCheck(Protocol):
    """Finds out how an answer ended whose connection has ended."""

    async def __call__(
        self, replica: Replica, received: float, *, patient: bool
    ) -> AnswerEnd:
        """Ask the replica, for as long as it is silent if ``patient``."""


_before_writing: contextvars.ContextVar[Callable[[], None]] = (
    contextvars.ContextVar('before_writing')
)
"""Called in a task that sends a request, once it has a connection."""


class _ObservedConnector(BoundedConnector):
    """Reports which new connections were established, and which were not.

    :param on_connected: called with the address of each new connection.
    :param on_failed: called with the address of each that failed or is slow.
    """

    def __init__(
        self,
        on_connected: ContactHook,
        on_failed: ContactHook,
        on_surplus: SurplusHook,
        **options: Any,
    ) -> None:
        super().__init__(
            on_surplus, limit=0, socket_factory=_open_socket, **options
        )
        self._on_connected = on_connected
        self._on_failed = on_failed
        self._connecting: dict[str, set[asyncio.Timeout]] = defaultdict(set)

    def abort_connecting(self, address: str) -> None:
        """Let the connection attempts to an address fail at once."""
        now = self._loop.time()
        for scope in self._connecting.get(address, ()):
            if not scope.expired():
                scope.reschedule(now)

    async def connect(self, *arguments: Any, **options: Any) -> Connection:
        """Get a connection for a request that is still wanted then."""
        connection = await super().connect(*arguments, **options)
        try:
            _before_writing.get()()
        except BaseException:
            connection.release()
            raise
        return connection

    async def _create_connection(
        self, req: Any, traces: Any, timeout: Any
    ) -> ResponseHandler:
        address = f'{req.url.raw_host}:{req.url.port}'
        slow = self._loop.call_later(
            SLOW_CONNECT_SECONDS, self._on_failed, address
        )
        scope = asyncio.timeout(None)
        self._connecting[address].add(scope)
        try:
            async with scope:
                handler = await super()._create_connection(req, traces, timeout)
        except TimeoutError as error:
            self._on_failed(address)
            raise aiohttp.ConnectionTimeoutError from error
        except (aiohttp.ClientError, OSError):
            self._on_failed(address)
            raise
        finally:
            slow.cancel()
            self._connecting[address].discard(scope)
            if not self._connecting[address]:
                del self._connecting[address]
        self._on_connected(address)
        return handler


class Answer:
    """An answer of an upstream whose status and headers have arrived.

    :param terms: what the headers state about the request and the replica.
    :param check_end: finds out how the answer ended, if it has neither a length
        nor chunks; called with the time of its last bytes, in monotonic
        seconds. A process that stands still may be killed much later.
    :param repeatable: whether another run may take the place of this one.
    :ivar end: how its end was recognized; ``None`` before that.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        terms: AnswerMetadata,
        clock: Clock,
        check_end: Callable[[float], Awaitable[AnswerEnd]],
        *,
        repeatable: bool,
    ) -> None:
        self.status = response.status
        self.headers: Headers = [
            (name.lower(), content) for name, content in response.raw_headers
        ]
        self.terms = terms
        self.end: AnswerEnd | None = None
        self._clock = clock
        self._received = clock.monotonic()
        self._response = response
        self._check_end = check_end
        self._repeatable = repeatable

    @property
    def framing(self) -> AnswerEnd | None:
        """How the answer states where its body ends; ``None`` if it doesn't.

        Then it ends with the connection, also when a replica crashes.
        """
        if not has_framing(self._response):
            return None
        chunked = b'transfer-encoding' in dict(self.headers)
        return AnswerEnd.CHUNKS if chunked else AnswerEnd.LENGTH

    async def read(self) -> bytes:
        """Read the complete body of an error.

        :raises SendError: if the connection fails before the body is complete,
            or if it is too long.
        """
        try:
            body = await read_bounded(self._response, MAX_ERROR_BYTES)
        except (aiohttp.ClientError, OSError) as error:
            raise _make_error(error) from error
        await self._confirm_end()
        return body

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they arrive.

        :raises SendError: if the connection fails before the body is complete.
        """
        try:
            async for chunk in self._response.content.iter_any():
                self._received = self._clock.monotonic()
                yield chunk
        except (aiohttp.ClientError, OSError) as error:
            raise _make_error(error) from error
        await self._confirm_end()

    async def _confirm_end(self) -> None:
        """Make sure that the replica has ended the answer.

        :raises SendError: if it may have been cut off. Where nothing can take
            its place, an announced departure counts as its end.
        """
        self.end = self.framing or await self._check_end(self._received)
        if self.end is AnswerEnd.GONE:
            raise SendError(SendErrorKind.LOST, 'replica gone at the end')
        left = self.end is AnswerEnd.LEFT
        if self.end is AnswerEnd.UNKNOWN or (left and self._repeatable):
            reason = REPLICA_LEFT if left else 'end not confirmed'
            raise SendError(SendErrorKind.UNCONFIRMED, reason)


@dataclass(frozen=True)
class UpstreamRequest:
    """A request as it is sent to an upstream.

    :param target: path and query, byte for byte.
    :param identity: that the answer must carry.
    :param repeatable: whether the request may run more than once.
    :param before_writing: called once there is a connection. What it raises
        ends the attempt before anything was sent.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes | None
    identity: str
    repeatable: bool
    before_writing: Callable[[], None]


class Upstreams:
    """Sends requests to upstreams over pooled or single-use connections.

    :param check_end: finds out how answers ended that have no framing.
    :param on_answer: is called for each answer that is accepted.
    :param on_connected: called with the address of each new connection.
    :param on_failed: called with the address of each that failed or is slow,
        and of each replica that was lost before it answered.
    :param on_surplus: called for each connection that is closed for what no
        request waits for.
    """

    def __init__(
        self,
        wire: HeaderCodec,
        clock: Clock,
        check_end: EndCheck,
        on_answer: AnswerHook,
        on_connected: ContactHook,
        on_failed: ContactHook,
        on_surplus: SurplusHook,
    ) -> None:
        self._on_surplus = on_surplus
        self._on_connected = on_connected
        self._on_failed = on_failed
        self._wire = wire
        self._clock = clock
        self._check_end = check_end
        self._on_answer = on_answer
        self._pooled: aiohttp.ClientSession | None = None
        self._single_use: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the sessions for pooled and for single-use connections."""
        self._pooled = self._open_session(keepalive_timeout=IDLE_SECONDS)
        self._single_use = self._open_session(force_close=True)

    async def stop(self) -> None:
        """Close all connections."""
        for session in filter(None, (self._pooled, self._single_use)):
            await session.close()

    def abort_connecting(self, addresses: Iterable[str]) -> None:
        """Let the connection attempts to some addresses fail at once.

        Nothing was sent over them, so their requests can go elsewhere.
        """
        connectors = [
            session.connector
            for session in (self._pooled, self._single_use)
            if session is not None
        ]
        for connector, address in itertools.product(connectors, addresses):
            assert isinstance(connector, _ObservedConnector)
            connector.abort_connecting(address)

    @asynccontextmanager
    async def send(
        self,
        replica: Replica,
        request: UpstreamRequest,
    ) -> AsyncIterator[Answer]:
        """Send a request and wait for the status and headers of its answer.

        An upstream may close a pooled connection while a request is written
        to it, and then it is unknown whether the request ran. So only
        repeatable requests use pooled connections.

        :raises SendError: if no usable answer arrives.
        """
        session = self._pooled if request.repeatable else self._single_use
        assert session is not None
        _before_writing.set(request.before_writing)
        url = URL(f'http://{replica.address}{request.target}', encoded=True)
        try:
            response = await session.request(
                request.method,
                url,
                data=request.body,
                headers=request.headers,
                skip_auto_headers=_SKIPPED_HEADERS,
                allow_redirects=False,
            )
        except _CONNECT_ERRORS as error:
            raise SendError(SendErrorKind.UNSENT, _name_error(error)) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            self._on_failed(replica.address)
            raise _make_error(error) from error
        try:
            answer = self._check_answer(replica, response, request)
            self._on_answer(replica, answer.terms)
            yield answer
        finally:
            # Closing cancels the request at the upstream. After a complete
            # body the connection has returned to its pool and stays open.
            response.close()

    def _open_session(self, **options: Any) -> aiohttp.ClientSession:
        """Open a client session without a limit on the number of connections.

        It keeps no cookies, leaves bodies encoded, and limits the time to
        connect but not the time of a request.

        :param options: of the connector.
        """
        session = aiohttp.ClientSession(
            connector=_ObservedConnector(
                self._on_connected,
                self._on_failed,
                self._on_surplus,
                **options,
            ),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            # An answer repeats the identity, which may be as long as a header.
            max_field_size=MAX_HEAD_BYTES,
            read_bufsize=READ_BUFFER_BYTES,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
            ),
        )
        # aiohttp's own retry is off: the relay decides on retries, counts and
        # logs them.
        session._retry_connection = False
        return session

    def _check_answer(
        self,
        replica: Replica,
        response: aiohttp.ClientResponse,
        request: UpstreamRequest,
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
        other = terms.identity != request.identity
        if other and (terms.identity or terms.signed):
            raise SendError(SendErrorKind.INVALID, 'answer to another request')
        if terms.encoded:
            raise SendError(SendErrorKind.INVALID, 'encoded body')
        check_end = partial(
            self._check_end, replica, patient=not request.repeatable
        )
        return Answer(
            response,
            terms,
            self._clock,
            check_end,
            repeatable=request.repeatable,
        )


def _open_socket(address: AddrInfoType) -> socket.socket:
    """Open a socket on which little waits to be read."""
    opened = socket.socket(*address[:3])
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    return opened


def _make_error(error: Exception) -> SendError:
    if isinstance(error, EndlessAnswer):
        return SendError(SendErrorKind.INVALID, str(error))
    return SendError(SendErrorKind.LOST, _name_error(error))


def _name_error(error: BaseException) -> str:
    return type(error).__name__
