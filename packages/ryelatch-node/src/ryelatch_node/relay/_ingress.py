"""Takes requests from clients and decides which are served."""

import asyncio
import contextlib
import traceback
from dataclasses import dataclass

from starlette.types import Receive, Scope, Send

from ryelatch_core.events import catalogue
from ryelatch_core.kernel import cancel_task
from ryelatch_core.quarantine import digest_request
from ryelatch_core.routing import (
    ClientLimits,
    Route,
    RoutingTable,
    choose_service,
)
from ryelatch_node.ports import RequestTerms
from ryelatch_node.relay._errors import AnswerBroken, ClientGone
from ryelatch_node.relay._exchange import Exchange, Inquiry, round_seconds
from ryelatch_node.relay._metrics import RelayMetrics
from ryelatch_node.relay._model import relay_model
from ryelatch_node.relay._parts import Parts
from ryelatch_node.relay._plain import relay_plain
from ryelatch_node.relay._watch import StreamWatch

SURE_SECONDS = 2.9
"""Age of the configuration up to which "no such route" is taken as true.

A node that has not heard of a change must not deny what it allows; it says
that it can't serve now. A watch confirms every two seconds.
"""

UNSURE_RETRY = 0.5
"""When a client may come back to, most likely, another node."""

KNOWN_SECONDS = 0.3
"""Longest wait of a request for the first list after a start.

The calls take 5 ms each, 0.3 s where the store is slowed sixtyfold; where it
is out, a client is better served by another node.
"""

_POLL_SECONDS = 0.01

QUARANTINE_RETRY = 60.0
"""When a client may come back with a request under which replicas ended.

It is refused for minutes, or until an operator lets it in.
"""

LIST_RETRY = 0.2
"""When a client may come back to a node that is about to list replicas.

The list takes 5 ms, and 0.3 s where the store is slowed sixtyfold.
"""

_UNAUTHORIZED = 401
_NOT_FOUND = 404
_REQUEST_TIMEOUT = 408
_TOO_LARGE = 413
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504


@dataclass(frozen=True, slots=True)
class _Refusal:
    """Why a request isn't served.

    :param digest: of a request under which replicas ended.
    :param ended: those replicas, by the names of their lives.
    """

    status: int
    reason: str
    retry_after: float | None = None
    digest: str = ''
    ended: tuple[str, ...] = ()


class _TooLarge(Exception):
    """A body is larger than the configuration allows."""


class Ingress:
    """Serves the requests of clients.

    :param closing: set while this node is to be left by its clients.
    :param refuses_streams: set when a stream might outlast this process.
    :param last_call: set when any request might.
    """

    def __init__(
        self,
        parts: Parts,
        watch: StreamWatch,
        metrics: RelayMetrics,
    ) -> None:
        self.closing = False
        self.last_call = False
        self.refuses_streams = False
        self.open_requests = 0
        self._parts = parts
        self._watch = watch
        self._metrics = metrics
        self._known: asyncio.Task[None] | None = None

    async def serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        self.open_requests += 1
        try:
            await self._serve(scope, receive, send)
        except Exception:
            # The server answers 500, or cuts what has begun. Without this
            # line nobody would learn why: the library's log is off.
            self._parts.log.record(
                catalogue.EXCHANGE_CRASHED, trace=traceback.format_exc()
            )
            raise
        finally:
            self.open_requests -= 1

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        parts = self._parts
        arrived = parts.clock.monotonic()
        terms = parts.wire.read_request(scope['headers'])
        exchange = Exchange(
            terms.identity, send, parts.log, parts.clock, self.closing
        )
        try:
            body = await self._read_body(receive)
        except ClientGone:
            return
        except _TooLarge:
            await exchange.refuse(_TOO_LARGE, 'the body is too large')
            return
        except TimeoutError:
            # Nothing was sent on, so the promise of a 408 holds.
            exchange.closing = True
            await exchange.refuse(_REQUEST_TIMEOUT, 'the body stands still')
            return
        await self._wait_known()
        inquiry = self._admit(scope, terms, body, arrived)
        if isinstance(inquiry, _Refusal):
            await self._refuse(exchange, inquiry)
            return
        await self._relay(exchange, inquiry, receive)
        self._log_end(exchange, inquiry)

    async def _refuse(self, exchange: Exchange, refusal: _Refusal) -> None:
        configuration = self._parts.configuration
        await exchange.refuse(
            refusal.status,
            refusal.reason,
            retry_after=refusal.retry_after,
            version=configuration.version,
            age=round_seconds(configuration.age),
            digest=refusal.digest,
            ended=refusal.ended,
        )

    async def _read_body(self, receive: Receive) -> bytes:
        table = self._parts.configuration.table
        limits = table.configuration.limits if table else ClientLimits()
        pieces: list[bytes] = []
        size = 0
        while True:
            async with asyncio.timeout(limits.idle_seconds):
                message = await receive()
            if message['type'] != 'http.request':
                raise ClientGone
            pieces.append(message['body'])
            size += len(message['body'])
            if size > limits.body_bytes:
                raise _TooLarge
            if not message['more_body']:
                return b''.join(pieces)

    async def _wait_known(self) -> None:
        """Wait for the first configuration and list of replicas.

        They come within milliseconds of the start. Refused before, a client
        that came back when its node was killed has used its one try.
        """
        if self._knows():
            return
        if self._known is None:
            self._known = asyncio.create_task(self._poll_known())
        await asyncio.wait((self._known,), timeout=KNOWN_SECONDS)

    async def _poll_known(self) -> None:
        """Look until both have come, once for all requests that wait."""
        while not self._knows():
            await asyncio.sleep(_POLL_SECONDS)
        self._known = None

    def _knows(self) -> bool:
        parts = self._parts
        return parts.configuration.table is not None and parts.replicas.listed

    def _admit(
        self,
        scope: Scope,
        terms: RequestTerms,
        body: bytes,
        arrived: float,
    ) -> Inquiry | _Refusal:
        """Decide whether a request is served, and by which service."""
        table = self._parts.configuration.table
        if table is None:
            return _Refusal(_UNAVAILABLE, 'no configuration yet', UNSURE_RETRY)
        if not self._parts.replicas.listed:
            # Refused as lacking layers, a client would be told to wait for
            # a repair, while the list comes within milliseconds.
            return _Refusal(_UNAVAILABLE, 'no registry yet', LIST_RETRY)
        if self.last_call:
            return _Refusal(_UNAVAILABLE, 'this node stops', 0)
        host = _read_host(scope)
        path = scope['raw_path'].decode('latin-1')
        route = table.find_route(host, path)
        if route is None:
            return self._deny(_NOT_FOUND, 'no such route')
        if self.refuses_streams and route.streaming:
            return _Refusal(_UNAVAILABLE, 'this node stops', 0)
        account = self._identify(table, route, terms)
        if isinstance(account, _Refusal):
            return account
        method, target = scope['method'], _read_target(scope, path)
        digest = digest_request(host, method, target, account, body)
        case = self._parts.quarantine.find_refused(digest)
        if case is not None:
            return _Refusal(
                _UNAVAILABLE,
                'replicas ended under this request',
                QUARANTINE_RETRY,
                digest,
                tuple(sorted(case.lives)),
            )
        patience = min(route.timeout, terms.deadline or route.timeout)
        return Inquiry(
            method,
            target,
            scope['headers'],
            body,
            terms,
            route,
            choose_service(route, self._parts.draw()),
            account,
            arrived,
            arrived + patience,
            table.configuration.version,
            digest,
        )

    def _identify(
        self,
        table: RoutingTable,
        route: Route,
        terms: RequestTerms,
    ) -> str | _Refusal:
        """Find the name of the client account; empty on anonymous routes."""
        if route.anonymous or not table.configuration.accounts:
            return ''
        if not self._parts.configuration.allows_keys():
            return _Refusal(_UNAVAILABLE, 'keys are unconfirmed', UNSURE_RETRY)
        account = table.find_account(terms.key)
        if account is None:
            return self._deny(_UNAUTHORIZED, 'unknown key')
        return account.name

    def _deny(self, status: int, reason: str) -> _Refusal:
        """Deny what no configuration allows, if this node can be sure."""
        if self._parts.configuration.age > SURE_SECONDS:
            return _Refusal(
                _UNAVAILABLE, f'{reason}, unconfirmed', UNSURE_RETRY
            )
        return _Refusal(status, reason)

    async def _relay(
        self,
        exchange: Exchange,
        inquiry: Inquiry,
        receive: Receive,
    ) -> None:
        """Relay a request while its client is there."""
        work = asyncio.create_task(self._finish(exchange, inquiry))
        gone = asyncio.create_task(_wait_gone(receive))
        await asyncio.wait((work, gone), return_when=asyncio.FIRST_COMPLETED)
        if not work.done() and not exchange.ended:
            # Work that nobody waits for any more keeps places from others.
            exchange.left = True
            work.cancel()
        await cancel_task(gone)
        with contextlib.suppress(asyncio.CancelledError, ClientGone):
            await work

    async def _finish(self, exchange: Exchange, inquiry: Inquiry) -> None:
        """Relay a request up to the end of its time."""
        self._parts.budget.earn()
        loop = asyncio.get_running_loop()
        left = inquiry.ends - self._parts.clock.monotonic()
        try:
            async with asyncio.timeout_at(loop.time() + left):
                await self._dispatch(exchange, inquiry)
        except TimeoutError:
            if not exchange.started:
                await self._tell_timeout(exchange)
        except AnswerBroken:
            # Returning without the end of the body cuts the connection, so
            # that the client sees that the answer isn't whole.
            exchange.detail['broken'] = True

    async def _tell_timeout(self, exchange: Exchange) -> None:
        if exchange.sends:
            await exchange.refuse(_GATEWAY_TIMEOUT, 'the time is over')
        else:
            await exchange.refuse(
                _UNAVAILABLE, 'the time is over', retry_after=0
            )

    async def _dispatch(self, exchange: Exchange, inquiry: Inquiry) -> None:
        table = self._parts.configuration.table
        terms = table and table.configuration.services.get(inquiry.service)
        if terms and terms.model is not None:
            await relay_model(self._parts, self._watch, exchange, inquiry)
        else:
            await relay_plain(self._parts, exchange, inquiry)

    def _log_end(self, exchange: Exchange, inquiry: Inquiry) -> None:
        seconds = self._parts.clock.monotonic() - inquiry.arrived
        if exchange.left:
            kind, outcome = catalogue.EXCHANGE_LEFT, 'left'
        elif exchange.ended:
            kind, outcome = catalogue.EXCHANGE_ENDED, str(exchange.status)
        else:
            kind, outcome = catalogue.EXCHANGE_BROKEN, 'broken'
        self._metrics.note(inquiry.route.streaming, outcome, seconds)
        exchange.record(
            kind,
            route=inquiry.route.name,
            account=inquiry.account,
            status=exchange.status,
            seconds=round_seconds(seconds),
            sends=exchange.sends,
            pause=round_seconds(exchange.pause),
            version=inquiry.version,
            **exchange.detail,
        )


async def _wait_gone(receive: Receive) -> None:
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()


def _read_host(scope: Scope) -> str:
    hosts = (entry for name, entry in scope['headers'] if name == b'host')
    return next(hosts, b'').decode('latin-1')


def _read_target(scope: Scope, path: str) -> str:
    """Join path and query, byte for byte."""
    query = scope['query_string'].decode('latin-1')
    return f'{path}?{query}' if query else path
