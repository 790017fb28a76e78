"""The HTTP server of a node for clients, readiness checks and metrics."""

import asyncio
import contextlib
import math
import socket
from typing import Any

import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

from ryelatch_core.events import catalogue
from ryelatch_core.membership import compute_departure_bounds
from ryelatch_core.routing import ClientLimits
from ryelatch_node.clients import READ_BYTES, BoundedReader, MeasuredProtocol
from ryelatch_node.listener import BACKLOG, bind_listener
from ryelatch_node.ports import Address, SettingsChanged
from ryelatch_node.relay._budget import (
    NODES_BEFORE_COUNT,
    RetryAllowance,
    resize_budget,
)
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._ingress import Ingress
from ryelatch_node.relay._metrics import RelayMetrics

NOTICE_SECONDS = 3.0
"""Time for which a stopping node serves new requests at least.

The load balancer checks readiness every second and removes a node after two
failed checks.
"""

QUIET_SECONDS = 0.5
"""Time without requests in progress after which a stopping node exits."""

MARGIN_SECONDS = 0.5
"""Part of the grace period that is reserved for closing connections."""

STREAM_FRACTION = 0.35
"""Fraction of the grace period in which a stopping node accepts new streams.

One in ten streams lasts over four seconds. A stream that was accepted later
could be interrupted when the process exits, so it is refused. Its client is
asked to retry at once, and reaches another node.
"""

PLAIN_ANSWER_SECONDS = 3.5
"""Part of the grace period that is reserved for plain answers in progress.

They take at most 1.5 s.
"""

_POLL_SECONDS = 0.05
_UNAVAILABLE = 503


class RelayServer:
    """Listens on three addresses, and drains requests before it stops.

    :param listener: a bound socket for clients, whose connections may wait in
        its backlog already; ``None`` to bind the address of the settings.
    """

    def __init__(
        self,
        context: RelayContext,
        ingress: Ingress,
        metrics: RelayMetrics,
        listener: socket.socket | None = None,
    ) -> None:
        self._listener = listener
        self._context = context
        self._ingress = ingress
        self._relay_metrics = metrics
        self._server: uvicorn.Server | None = None
        self._config: uvicorn.Config | None = None
        self._nodes = NODES_BEFORE_COUNT
        self._sockets: list[socket.socket] = []
        self._read_buffer = bytearray(READ_BYTES)
        # Replaced by the bound addresses: the system chooses a port for 0.
        self.front = context.startup.front
        self.readiness = context.startup.readiness
        self.metrics = context.startup.metrics
        self._internal_app = Starlette(
            routes=[
                Route('/readyz', self._serve_readiness),
                Route('/metrics', self._serve_metrics),
            ]
        )

    @property
    def ready(self) -> bool:
        """Whether new clients should be sent here."""
        context = self._context
        if (
            self._ingress.stop_state.closing
            or context.configuration.table is None
        ):
            return False
        return context.replicas.listed and context.configuration.allows_keys()

    async def start(self) -> None:
        """Bind the addresses and start to serve."""
        config = uvicorn.Config(
            self._serve,
            log_config=None,
            access_log=False,
            lifespan='off',
            http=self._make_protocol,  # type: ignore[arg-type]
            interface='asgi3',
            ws='none',
            server_header=False,
            date_header=False,
            backlog=BACKLOG,
        )
        config.load()
        startup = self._context.startup
        self._sockets = [
            self._listener or bind_listener(*startup.front),
            bind_listener(*startup.readiness),
            bind_listener(*startup.metrics),
        ]
        bound = [
            Address(*listening.getsockname()) for listening in self._sockets
        ]
        self.front = bound[0]
        self.readiness = bound[1]
        self.metrics = bound[2]
        self._config = config
        self._server = uvicorn.Server(config)
        self._server.lifespan = config.lifespan_class(config)
        await self._server.startup(self._sockets)

    def apply_limits(self) -> None:
        """Apply the idle timeout of the configuration to connections."""
        if self._config is not None:
            # Clients may reuse a connection until the limit. Rounding up
            # avoids that a connection is closed while a request arrives.
            self._config.timeout_keep_alive = math.ceil(
                self._read_limits().idle_seconds
            )

    def set_node_count(self, nodes: int) -> None:
        """Set this node's part of the load and of the retry budget.

        :param nodes: number of nodes.
        """
        self._nodes = nodes
        self._context.load.set_node_count(nodes)
        self._apply_budget()

    def apply_settings(self, changed: SettingsChanged) -> None:
        """Apply settings that changed while this process runs."""
        self._context.startup = changed.startup
        self._context.configuration.set_bound(changed.startup.revoke_seconds)
        self._context.replicas.freshness.bounds = compute_departure_bounds(
            changed.startup.drain_seconds, changed.startup.steady_seconds
        )
        self._apply_budget()

    async def drain(self) -> None:
        """Serve requests until no client is left or the grace period is over.

        The load balancer sends new connections until two readiness checks
        have failed, and clients use open connections until a response
        announces that the connection closes.
        """
        self._ingress.stop_state.closing = True
        self._context.log.record(catalogue.NODE_DRAINING)
        loop = asyncio.get_running_loop()
        started = loop.time()
        grace_seconds = self._context.startup.grace
        refuse_after = max(
            grace_seconds / 2,
            grace_seconds - MARGIN_SECONDS - PLAIN_ANSWER_SECONDS,
        )
        idle_seconds = 0.0
        while loop.time() - started < grace_seconds - MARGIN_SECONDS:
            await asyncio.sleep(_POLL_SECONDS)
            elapsed = loop.time() - started
            self._ingress.stop_state.refuses_streams = (
                elapsed > grace_seconds * STREAM_FRACTION
            )
            self._ingress.stop_state.refuses_all = elapsed > refuse_after
            busy = self._ingress.open_requests
            idle_seconds = 0.0 if busy else idle_seconds + _POLL_SECONDS
            if elapsed > NOTICE_SECONDS and idle_seconds > QUIET_SECONDS:
                return

    async def stop(self) -> None:
        """Close all connections and listening sockets."""
        if self._server is None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MARGIN_SECONDS / 2):
                await self._server.shutdown(self._sockets)

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope['type'] != 'http':
            return
        if scope['server'][1] == self.front.port:
            await self._ingress.serve(scope, receive, send)
        else:
            await self._internal_app(scope, receive, send)

    def _make_protocol(self, *arguments: Any, **options: Any) -> BoundedReader:
        protocol = MeasuredProtocol(
            *arguments,
            read_limits=self._read_limits,
            log=self._context.log,
            **options,
        )
        return BoundedReader(protocol, self._read_buffer)

    def _read_limits(self) -> ClientLimits:
        table = self._context.configuration.table
        return table.configuration.limits if table else ClientLimits()

    def _apply_budget(self) -> None:
        startup = self._context.startup
        allowance = RetryAllowance(
            startup.retry_ratio, startup.retry_extra, startup.retry_window
        )
        resize_budget(self._context.budgets, allowance, self._nodes)

    async def _serve_readiness(self, request: Request) -> Response:
        if self.ready:
            return PlainTextResponse('ready\n')
        return PlainTextResponse('not ready\n', _UNAVAILABLE)

    async def _serve_metrics(self, request: Request) -> Response:
        return PlainTextResponse(self._relay_metrics.expose())
