"""Takes requests from clients and brings them to their end."""

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
    ReceivedRequest,
    Refusal,
    ShutdownState,
    admit,
)
from ryelatch_node.relay._beginning import InitialSync
from ryelatch_node.relay._errors import AnswerBroken, ClientGone
from ryelatch_node.relay._exchange import Exchange, AdmittedRequest, round_seconds
from ryelatch_node.relay._metrics import RelayMetrics
from ryelatch_node.relay._model import relay_model
from ryelatch_node.relay._parts import RelayContext
from ryelatch_node.relay._plain import relay_non_model
from ryelatch_node.relay._watch import StreamWatch

_REQUEST_TIMEOUT = 408
_TOO_LARGE = 413
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504


class _TooLarge(Exception):
    """A body is larger than the configuration allows."""


class Ingress:
    """Serves the requests of clients.

    :param stops: how far the stop of this node has come.
    """

    def __init__(
        self,
        context: RelayContext,
        watch: StreamWatch,
        metrics: RelayMetrics,
    ) -> None:
        self.stops = ShutdownState()
        self.open_requests = 0
        self._context = context
        self._watch = watch
        self._metrics = metrics
        self._first_lists = InitialSync(context)

    async def serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        self.open_requests += 1
        try:
            await self._serve(scope, receive, send)
        except Exception:
            # The server answers 500, or cuts what has begun. Without this
            # line nobody would learn why: the library's log is off.
            self._context.log.record(
                catalogue.EXCHANGE_CRASHED, trace=traceback.format_exc()
            )
            raise
        finally:
            self.open_requests -= 1

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        context = self._context
        arrived = context.clock.monotonic()
        terms = context.wire.read_request(scope['headers'])
        exchange = Exchange(
            terms.identity, send, context.log, context.clock, self.stops.closing
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
        await self._first_lists.wait()
        received = ReceivedRequest(scope, terms, body, arrived)
        request = admit(context, self.stops, received)
        if isinstance(request, Refusal):
            await self._refuse(exchange, request)
            return
        await self._relay(exchange, request, receive)
        self._log_end(exchange, request)

    async def _refuse(self, exchange: Exchange, refusal: Refusal) -> None:
        configuration = self._context.configuration
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
        table = self._context.configuration.table
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

    async def _relay(
        self,
        exchange: Exchange,
        request: AdmittedRequest,
        receive: Receive,
    ) -> None:
        """Relay a request while its client is there."""
        work = asyncio.create_task(self._finish(exchange, request))
        gone = asyncio.create_task(_wait_gone(receive))
        await asyncio.wait((work, gone), return_when=asyncio.FIRST_COMPLETED)
        if not work.done() and not exchange.ended:
            # Work that nobody waits for any more keeps places from others.
            exchange.left = True
            work.cancel()
        await cancel_task(gone)
        with contextlib.suppress(asyncio.CancelledError, ClientGone):
            await work

    async def _finish(self, exchange: Exchange, request: AdmittedRequest) -> None:
        """Relay a request up to the end of its time."""
        self._context.budget.earn()
        loop = asyncio.get_running_loop()
        left = request.ends - self._context.clock.monotonic()
        try:
            async with asyncio.timeout_at(loop.time() + left):
                await self._dispatch(exchange, request)
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

    async def _dispatch(self, exchange: Exchange, request: AdmittedRequest) -> None:
        table = self._context.configuration.table
        terms = table and table.configuration.services.get(request.service)
        if terms and terms.model is not None:
            await relay_model(self._context, self._watch, exchange, request)
        else:
            await relay_non_model(self._context, exchange, request)

    def _log_end(self, exchange: Exchange, request: AdmittedRequest) -> None:
        seconds = self._context.clock.monotonic() - request.arrived
        if exchange.left:
            kind, outcome = catalogue.EXCHANGE_LEFT, 'left'
        elif exchange.ended:
            kind, outcome = catalogue.EXCHANGE_ENDED, str(exchange.status)
        else:
            kind, outcome = catalogue.EXCHANGE_BROKEN, 'broken'
        self._metrics.note(request.route.streaming, outcome, seconds)
        exchange.record(
            kind,
            route=request.route.name,
            account=request.account,
            status=exchange.status,
            seconds=round_seconds(seconds),
            sends=exchange.sends,
            pause=round_seconds(exchange.pause),
            version=request.version,
            **exchange.detail,
        )


async def _wait_gone(receive: Receive) -> None:
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()
