"""Calls to plain services over HTTP."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus

import aiohttp
from result import Err, Ok, Result

from ryelatch_core.membership import Vm
from ryelatch_core.outcomes import Failure, Outcome
from ryelatch_core.retries import RetryBudget
from ryelatch_core.settings import Route
from ryelatch_core.settings import Service as PlainService

MAX_ANSWER = 8_388_608
CONNECT_SECONDS = 0.5
_TRIES = 3

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
_OWN = frozenset(
    ('authorization', 'content-length', 'host', 'expect', 'accept-encoding')
)

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class Call:
    """A request for a plain service.

    :param path: with the query, as the upstream gets it.
    :param idempotent: it may be sent again after a failure.
    """

    request: str
    method: str
    path: str
    headers: Headers
    body: bytes
    idempotent: bool


@dataclass(frozen=True)
class Answer:
    """The whole answer of an upstream."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class _Miss:
    """A try that gave no answer.

    :param sent: whether bytes of the request may have left.
    """

    sent: bool
    reason: str


class Forwarder:
    """Sends calls to upstreams, each on a connection of its own.

    A pooled connection that something between the ends lost track of takes
    a request and never answers; the caller of a booking is then told
    ``unknown``, though a new connection would have worked. A connection that
    was just opened is proven, at the price of a round trip.
    """

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None
        self._budget = RetryBudget()

    async def start(self) -> None:
        """Open the session."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True, limit=0),
            auto_decompress=False,
            skip_auto_headers=('User-Agent', 'Content-Type'),
        )

    async def stop(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def forward(
        self,
        call: Call,
        service: PlainService,
        upstreams: list[Vm],
    ) -> Result[Answer, Failure]:
        """Send a call, to another upstream after a failure if that is safe.

        :param upstreams: in the order in which they are tried.
        """
        sent = False
        self._budget.earn()
        deadline = asyncio.get_running_loop().time() + service.timeout
        for upstream in upstreams[:_TRIES]:
            left = deadline - asyncio.get_running_loop().time()
            if left <= 0:
                break
            tried = await self._try_once(call, upstream, left)
            if tried.is_ok():
                return Ok(tried.unwrap())
            sent = sent or tried.unwrap_err().sent
            if sent and not self._may_repeat(call):
                break
        return Err(_fail(sent=sent))

    def _may_repeat(self, call: Call) -> bool:
        """Tell whether a call that may have run may be sent again.

        A booking sent again could run twice: a second van to one clinic.
        """
        return call.idempotent and self._budget.spend()

    async def _try_once(
        self,
        call: Call,
        upstream: Vm,
        patience: float,
    ) -> Result[Answer, _Miss]:
        if self._session is None:
            return Err(_Miss(sent=False, reason='stopped'))
        timeout = aiohttp.ClientTimeout(patience, sock_connect=CONNECT_SECONDS)
        try:
            async with self._session.request(
                call.method,
                f'http://{upstream.address}{call.path}',
                data=call.body or None,
                headers=call.headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                body = await _read_whole(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Err(_Miss(sent=False, reason='no connection'))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Err(_Miss(sent=True, reason=type(error).__name__))
        headers = clean_headers(response.headers.items())
        return Ok(Answer(response.status, headers, body))


async def _read_whole(response: aiohttp.ClientResponse) -> bytes:
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_ANSWER:
            raise aiohttp.ClientPayloadError(f'over {MAX_ANSWER} bytes')
    return bytes(body)


def clean_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Take out what belongs to one connection only, or to the router.

    A caller's ``Transfer-Encoding`` or ``Connection`` passed on could make
    the upstream see two requests where the router saw one; the second would
    run under no client account. Lengths are set anew by the library.
    """
    pairs = [(name.lower(), text) for name, text in headers]
    named = {
        token.strip().lower()
        for name, text in pairs
        if name == 'connection'
        for token in text.split(',')
    }
    dropped = _HOP_BY_HOP | _OWN | named
    return tuple(
        (name, text)
        for name, text in pairs
        if name not in dropped and not name.startswith('x-ryelatch-')
    )


def is_idempotent(route: Route, method: str) -> bool:
    """Tell whether a method may be sent again on a route."""
    return method in route.idempotent


def _fail(*, sent: bool) -> Failure:
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
