"""Receives requests of clients and relays them until they are complete."""

import asyncio
import contextlib
import traceback

from starlette.types import Receive, Scope, Send

from ryelatch_core.events import catalogue
from ryelatch_core.kernel import cancel_task
from ryelatch_core.routing import (
    ClientLimits,
)
from ryelatch_node.relay._admission import (
    Arrival,
    Refusal,
    StopState,
    admit,
)
from ryelatch_node.relay._beginning import FirstLists
from ryelatch_node.relay._errors import AnswerBroken, ClientGone
from ryelatch_node.relay._exchange import Exchange, Inquiry, round_seconds
from ryelatch_node.relay._metrics import RelayMetrics
from ryelatch_node.relay._model import relay_model
from ryelatch_node.relay._parts import Parts
from ryelatch_node.relay._plain import relay_plain
from ryelatch_node.relay._watch import StreamWatch

_REQUEST_TIMEOUT = 408
_TOO_LARGE = 413
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504


class _TooLarge(Exception):
    """A request body is larger than the configuration allows."""


class Ingress:
    """Serves the requests of clients.

    :ivar stop_state: the state of the planned stop of this node.
    :ivar open_requests: requests in progress.
    """

    def __init__(
        self,
        parts: Parts,
        watch: StreamWatch,
        metrics: RelayMetrics,
    ) -> None:
        self.stop_state = StopState()
        self.open_requests = 0
        self._parts = parts
        self._watch = watch
        self._metrics = metrics
        self._first_lists = FirstLists(parts)

    async def serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request, and log an exception that it raises."""
        self.open_requests += 1
        try:
            await self._serve(scope, receive, send)
        except Exception:
            # The HTTP server responds with 500, or closes the connection if
            # the response has started. Its own log is off, so the cause
            # would be lost without this line.
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
            terms.identity,
            send,
            parts.log,
            parts.clock,
            self.stop_state.closing,
        )
        try:
            body = await self._read_body(receive)
        except ClientGone:
            return
        except _TooLarge:
            await exchange.refuse(_TOO_LARGE, 'the body is too large')
            return
        except TimeoutError:
            # Nothing was sent to an upstream, so a client may safely repeat
            # the request, as a 408 permits.
            exchange.closing = True
            await exchange.refuse(
                _REQUEST_TIMEOUT, 'the request body timed out'
            )
            return
        await self._first_lists.wait()
        arrival = Arrival(scope, terms, body, arrived)
        inquiry = admit(parts, self.stop_state, arrival)
        if isinstance(inquiry, Refusal):
            await self._refuse(exchange, inquiry)
            return
        await self._relay(exchange, inquiry, receive)
        self._log_completion(exchange, inquiry)

    async def _refuse(self, exchange: Exchange, refusal: Refusal) -> None:
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
        chunks: list[bytes] = []
        size = 0
        while True:
            async with asyncio.timeout(limits.idle_seconds):
                message = await receive()
            if message['type'] != 'http.request':
                raise ClientGone
            chunks.append(message['body'])
            size += len(message['body'])
            if size > limits.body_bytes:
                raise _TooLarge
            if not message['more_body']:
                return b''.join(chunks)

    async def _relay(
        self,
        exchange: Exchange,
        inquiry: Inquiry,
        receive: Receive,
    ) -> None:
        """Relay a request until it is complete or its client disconnects."""
        relaying = asyncio.create_task(
            self._relay_until_deadline(exchange, inquiry)
        )
        disconnect = asyncio.create_task(_wait_for_disconnect(receive))
        await asyncio.wait(
            (relaying, disconnect), return_when=asyncio.FIRST_COMPLETED
        )
        if not relaying.done() and not exchange.ended:
            # A request without a client would take capacity from others.
            exchange.left = True
            relaying.cancel()
        await cancel_task(disconnect)
        with contextlib.suppress(asyncio.CancelledError, ClientGone):
            await relaying

    async def _relay_until_deadline(
        self, exchange: Exchange, inquiry: Inquiry
    ) -> None:
        """Relay a request, and stop it at its deadline."""
        self._parts.budget.earn()
        loop = asyncio.get_running_loop()
        remaining = inquiry.ends - self._parts.clock.monotonic()
        try:
            async with asyncio.timeout_at(loop.time() + remaining):
                await self._dispatch(exchange, inquiry)
        except TimeoutError:
            if not exchange.started:
                await self._refuse_late(exchange)
        except AnswerBroken:
            # Returning before the body is complete closes the connection, so
            # the client sees that the answer is incomplete.
            exchange.detail['broken'] = True

    async def _refuse_late(self, exchange: Exchange) -> None:
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

    def _log_completion(self, exchange: Exchange, inquiry: Inquiry) -> None:
        seconds = self._parts.clock.monotonic() - inquiry.arrived
        if exchange.left:
            kind, outcome = catalogue.EXCHANGE_LEFT, 'left'
        elif exchange.ended:
            kind, outcome = catalogue.EXCHANGE_ENDED, str(exchange.status)
        else:
            kind, outcome = catalogue.EXCHANGE_BROKEN, 'broken'
        self._metrics.record_request(inquiry.route.streaming, outcome, seconds)
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


async def _wait_for_disconnect(receive: Receive) -> None:
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()
