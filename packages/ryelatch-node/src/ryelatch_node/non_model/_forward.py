"""Forwards calls to non-model services over HTTP."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus

import aiohttp
from result import Err, Ok, Result

from ryelatch_core.events import Timeline
from ryelatch_core.membership import Vm
from ryelatch_core.outcomes import Failure, Outcome
from ryelatch_core.retries import RetryBudget
from ryelatch_core.settings import Route
from ryelatch_core.settings import Service as NonModelService
from ryelatch_node.connections import (
    BoundedConnector,
    has_framing,
    make_surplus_hook,
)

MAX_ANSWER_BYTES = 8_388_608
CONNECT_TIMEOUT_SECONDS = 0.5
_MAX_ATTEMPTS = 3

_HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'date',
        'server',
    )
)
_ROUTER_HEADERS = frozenset(
    ('authorization', 'content-length', 'host', 'expect', 'accept-encoding')
)

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class Call:
    """A request for a non-model service.

    :param request: ID of the request.
    :param path: path and query, as sent to the upstream.
    :param idempotent: whether it may be sent again after a failure.
    """

    request: str
    method: str
    path: str
    headers: Headers
    body: bytes
    idempotent: bool


@dataclass(frozen=True)
class Answer:
    """The complete answer of an upstream.

    :param framed: whether it stated where its body ends. If not, its upstream
        was still listening after the end, which doesn't prove that it is
        complete: another process may listen there.
    """

    status: int
    headers: Headers
    body: bytes
    framed: bool = True


@dataclass(frozen=True)
class _FailedAttempt:
    """An attempt that got no complete answer.

    :param sent: whether any bytes of the request may have been sent.
    """

    sent: bool
    reason: str


class Forwarder:
    """Sends calls to upstreams, each on a new connection.

    A middlebox can drop the state of a pooled connection: a request written to
    it is never answered. The client of a call that is not idempotent, such as
    a booking, then gets the outcome ``unknown``, although a new connection
    would have worked. A new connection is known to work, at the cost of a round
    trip.

    :param timeline: gets an event for each connection that is closed for what
        no request waits for.
    """

    def __init__(self, timeline: Timeline) -> None:
        self._timeline = timeline
        self._session: aiohttp.ClientSession | None = None
        self._budget = RetryBudget()

    async def start(self) -> None:
        """Open the HTTP session."""
        self._session = aiohttp.ClientSession(
            connector=BoundedConnector(
                make_surplus_hook(self._timeline), force_close=True, limit=0
            ),
            auto_decompress=False,
            skip_auto_headers=('User-Agent', 'Content-Type'),
        )

    async def stop(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()

    async def forward(
        self,
        call: Call,
        service: NonModelService,
        upstreams: list[Vm],
    ) -> Result[Answer, Failure]:
        """Send a call, and retry it on other upstreams where that is safe.

        :param service: service that the call is for, with its timeout.
        :param upstreams: candidates, in the order in which they are tried.
        """
        sent = False
        self._budget.earn()
        deadline = asyncio.get_running_loop().time() + service.timeout
        for upstream in upstreams[:_MAX_ATTEMPTS]:
            time_left = deadline - asyncio.get_running_loop().time()
            if time_left <= 0:
                break
            attempted = await self._attempt(call, upstream, time_left)
            if attempted.is_ok():
                return Ok(attempted.unwrap())
            sent = sent or attempted.unwrap_err().sent
            if sent and not self._may_retry(call):
                break
        return Err(_make_failure(sent=sent))

    def _may_retry(self, call: Call) -> bool:
        """Return whether a call that may have run may be sent again.

        A call that is not idempotent, such as a booking, could run twice. Other
        calls are limited by the retry budget.
        """
        return call.idempotent and self._budget.spend()

    async def _attempt(
        self,
        call: Call,
        upstream: Vm,
        time_left: float,
    ) -> Result[Answer, _FailedAttempt]:
        if self._session is None:
            return Err(_FailedAttempt(sent=False, reason='stopped'))
        timeout = aiohttp.ClientTimeout(
            time_left, sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        try:
            async with self._session.request(
                call.method,
                f'http://{upstream.address}{call.path}',
                data=call.body or None,
                headers=call.headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                body = await _read_body(response)
                framed = has_framing(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Err(_FailedAttempt(sent=False, reason='no connection'))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Err(_FailedAttempt(sent=True, reason=type(error).__name__))
        if not (framed or await _listens(upstream)):
            return Err(_FailedAttempt(sent=True, reason='gone at the end'))
        headers = clean_headers(response.headers.items())
        return Ok(Answer(response.status, headers, body, framed))


async def _listens(upstream: Vm) -> bool:
    """Whether an upstream accepts a connection.

    An answer without a length or chunks ends with its connection. So does a
    part of one if the process of the upstream is killed.
    """
    host, _, port = upstream.address.rpartition(':')
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        # Timeouts included.
        return False
    writer.transport.abort()
    return True


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            raise aiohttp.ClientPayloadError(f'over {MAX_ANSWER_BYTES} bytes')
    return bytes(body)


def clean_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Remove hop-by-hop headers and those that only concern the router.

    A client's ``Transfer-Encoding`` or ``Connection`` header, if forwarded,
    could make the upstream parse two requests where the router saw one (request
    smuggling); the second would run under no client account. The HTTP library
    sets the length anew.
    """
    pairs = [(name.lower(), text) for name, text in headers]
    named = {
        token.strip().lower()
        for name, text in pairs
        if name == 'connection'
        for token in text.split(',')
    }
    dropped = _HOP_BY_HOP | _ROUTER_HEADERS | named
    return tuple(
        (name, text)
        for name, text in pairs
        if name not in dropped and not name.startswith('x-ryelatch-')
    )


def is_idempotent(route: Route, method: str) -> bool:
    """Return whether requests with a method are idempotent on a route."""
    return method in route.idempotent


def _make_failure(*, sent: bool) -> Failure:
    """Make the error for a client whose call got no answer.

    :param sent: whether an upstream may have received any of the request.
    """
    if sent:
        return Failure(
            HTTPStatus.GATEWAY_TIMEOUT,
            'answer_lost',
            'The request was sent and its answer is lost; it may have run.',
            Outcome.UNKNOWN,
            kind='server_error',
        )
    return Failure(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'no_upstream',
        'No upstream took the request; it did not run.',
        Outcome.NOT_RUN,
        1,
        'server_error',
    )
