"""Receives requests of clients and relays them until they are complete."""

import asyncio
import contextlib
import traceback
from collections.abc import Callable, Iterator
from math import inf

from starlette.types import Receive, Scope, Send

from ryelatch_core.events import catalogue
from ryelatch_core.kernel import cancel_task
from ryelatch_core.routing import (
    ClientLimits,
)
from ryelatch_node.clients import (
    get_departure_check,
    wait_for_disconnect,
)
from ryelatch_node.relay._admission import (
    ReceivedRequest,
    Refusal,
    ShutdownState,
    admit,
)
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._errors import AnswerBroken, ClientGone
from ryelatch_node.relay._exchange import (
    AdmittedRequest,
    Exchange,
    round_seconds,
)
from ryelatch_node.relay._initial_sync import InitialSync, PendingRequest
from ryelatch_node.relay._metrics import RelayMetrics
from ryelatch_node.relay._model import relay_model
from ryelatch_node.relay._non_model import relay_non_model
from ryelatch_node.relay._refusals import list_evidence
from ryelatch_node.relay._watch import StreamWatch

_REQUEST_TIMEOUT = 408
_TOO_LARGE = 413
_UNAVAILABLE = 503

MAX_BODY_SECONDS = 60.0
"""Time to receive a body whose client doesn't say how long it waits."""
_GATEWAY_TIMEOUT = 504


class _TooLarge(Exception):
    """A request body is larger than the configuration allows."""


class Ingress:
    """Serves the requests of clients.

    :param is_store_out: whether the store is unavailable to this node.
    :ivar stop_state: progress of the planned shutdown of this node.
    :ivar open_requests: requests in progress.
    """

    def __init__(
        self,
        context: RelayContext,
        watch: StreamWatch,
        metrics: RelayMetrics,
        is_store_out: Callable[[], bool],
    ) -> None:
        self.stop_state = ShutdownState()
        self.open_requests = 0
        self._context = context
        self._watch = watch
        self._metrics = metrics
        self._initial_sync = InitialSync(context, is_store_out)
        self._time_limits: set[asyncio.Timeout] = set()
        self._has_ended = False

    async def serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request, and log an exception that it raises."""
        with self._track():
            await self._serve(scope, receive, send)

    async def relay(
        self,
        exchange: Exchange,
        request: AdmittedRequest,
        receive: Receive,
    ) -> None:
        """Relay a request that another node forwarded, and log its end.

        The retries that it earns are earned at the node of its client.
        """
        with self._track():
            await self._relay(exchange, request, receive)
            self._log_completion(exchange, request)

    def end_requests(self) -> None:
        """End all requests in progress, as this process is about to end.

        Each client whose answer has not begun is told whether it may have run.
        """
        self._has_ended = True
        now = asyncio.get_running_loop().time()
        for limit in self._time_limits:
            if not limit.expired():
                limit.reschedule(now)

    @contextlib.contextmanager
    def _limit_time(self, seconds: float) -> Iterator[asyncio.Timeout]:
        """Make a time limit, which the end of this process brings forward."""
        limit = asyncio.timeout(seconds)
        self._time_limits.add(limit)
        try:
            yield limit
        finally:
            self._time_limits.discard(limit)

    @contextlib.contextmanager
    def _track(self) -> Iterator[None]:
        """Count a request as in progress, and log what it raises."""
        self.open_requests += 1
        try:
            yield
        except Exception:
            # The HTTP server responds with 500, or closes the connection if
            # the response has started. Its own log is off, so the cause
            # would be lost without this line.
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
            terms.identity,
            send,
            context.log,
            context.clock,
            get_departure_check(scope),
            self.stop_state.closing,
        )
        try:
            body = await self._read_body(receive, terms.deadline)
        except ClientGone:
            return
        except _TooLarge:
            exchange.closing = True
            await exchange.refuse(_TOO_LARGE, 'the body is too large')
            return
        except TimeoutError:
            # Nothing was sent to an upstream, so a client may safely repeat
            # the request, as a 408 permits.
            exchange.closing = True
            await exchange.refuse(_REQUEST_TIMEOUT, 'the body is too slow')
            return
        received = ReceivedRequest(scope, terms, body, arrived)
        try:
            await self._wait_for_sync(exchange, received, receive)
        except ClientGone:
            exchange.record(
                catalogue.EXCHANGE_LEFT,
                seconds=round_seconds(context.now() - arrived),
                sends=0,
            )
            return
        request = admit(context, self.stop_state, received)
        if isinstance(request, Refusal):
            await self._refuse(exchange, request)
            return
        self._context.budgets.get(request.service).earn()
        await self._relay(exchange, request, receive)
        self._log_completion(exchange, request)

    async def _wait_for_sync(
        self, exchange: Exchange, received: ReceivedRequest, receive: Receive
    ) -> None:
        """Wait until this node has what it needs to serve a request.

        :raises ClientGone: if its client disconnects meanwhile.
        """
        pending = PendingRequest(
            len(received.body), received.received_at, received.terms.deadline
        )
        waited = await self._initial_sync.wait(pending, receive)
        if waited:
            exchange.detail['sync_wait'] = round_seconds(waited)

    async def _refuse(self, exchange: Exchange, refusal: Refusal) -> None:
        configuration = self._context.configuration
        await exchange.refuse(
            refusal.status,
            refusal.reason,
            retry_after=refusal.retry_after,
            version=configuration.version,
            age=round_seconds(configuration.age),
            digest=refusal.digest,
            **(list_evidence(refusal.cause) if refusal.cause else {}),
            **exchange.detail,
        )

    async def _read_body(
        self, receive: Receive, deadline: float | None
    ) -> bytes:
        """Read a body until it is complete.

        :param deadline: seconds for which its client waits for the answer.
        :raises TimeoutError: if it stands still, or takes longer than that.
        """
        async with asyncio.timeout(min(deadline or inf, MAX_BODY_SECONDS)):
            return await self._collect_body(receive)

    async def _collect_body(self, receive: Receive) -> bytes:
        table = self._context.configuration.table
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
        request: AdmittedRequest,
        receive: Receive,
    ) -> None:
        """Relay a request until it is complete or its client disconnects.

        A busy process may read a request and the end of its connection at once.
        """
        try:
            exchange.check_client()
        except ClientGone:
            return
        relaying = asyncio.create_task(
            self._relay_until_deadline(exchange, request)
        )
        disconnect = asyncio.create_task(wait_for_disconnect(receive))
        await asyncio.wait(
            (relaying, disconnect), return_when=asyncio.FIRST_COMPLETED
        )
        if not relaying.done() and not exchange.finished:
            # A request whose client is gone would still use capacity that
            # other requests need.
            exchange.client_gone = True
            relaying.cancel()
        await cancel_task(disconnect)
        with contextlib.suppress(asyncio.CancelledError, ClientGone):
            await relaying

    async def _relay_until_deadline(
        self, exchange: Exchange, request: AdmittedRequest
    ) -> None:
        """Relay a request, and stop it at its deadline."""
        remaining = request.deadline - self._context.clock.monotonic()
        try:
            with self._limit_time(remaining) as limit:
                async with limit:
                    await self._dispatch(exchange, request)
        except TimeoutError:
            if not exchange.started:
                await self._refuse_late(exchange)
        except AnswerBroken:
            # Returning before the body is complete closes the connection, so
            # the client sees that the answer is incomplete.
            exchange.detail['broken'] = True

    async def _refuse_late(self, exchange: Exchange) -> None:
        reason = 'this node stops' if self._has_ended else 'the time is over'
        if exchange.sends:
            await exchange.refuse(_GATEWAY_TIMEOUT, reason)
        else:
            await exchange.refuse(_UNAVAILABLE, reason, retry_after=0)

    async def _dispatch(
        self, exchange: Exchange, request: AdmittedRequest
    ) -> None:
        table = self._context.configuration.table
        service = table and table.configuration.services.get(request.service)
        if service and service.model is not None:
            await relay_model(self._context, self._watch, exchange, request)
        else:
            await relay_non_model(self._context, exchange, request)

    def _log_completion(
        self, exchange: Exchange, request: AdmittedRequest
    ) -> None:
        duration = self._context.clock.monotonic() - request.arrived
        if exchange.client_gone:
            event, outcome = catalogue.EXCHANGE_LEFT, 'left'
        elif exchange.finished:
            event, outcome = catalogue.EXCHANGE_ENDED, str(exchange.status)
        else:
            event, outcome = catalogue.EXCHANGE_BROKEN, 'broken'
        self._metrics.record_request(
            request.route.streaming,
            outcome,
            duration,
            forwarded=bool(request.origin),
        )
        exchange.record(
            event,
            route=request.route.name,
            account=request.account,
            status=exchange.status,
            seconds=round_seconds(duration),
            sends=exchange.sends,
            pause=round_seconds(exchange.pause),
            version=request.version,
            **exchange.detail,
        )
