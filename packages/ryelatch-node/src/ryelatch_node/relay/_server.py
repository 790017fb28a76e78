"""The HTTP server of a node for clients, readiness checks and metrics."""

import asyncio
import contextlib
import math
import socket

import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

from ryelatch_core.events import catalogue
from ryelatch_core.membership import compute_departure_bounds
from ryelatch_core.routing import ClientLimits
from ryelatch_node.clients import (
    Acceptor,
    BoundedProtocol,
    BoundedReader,
    ClientResources,
    ConnectionTable,
    MemoryBudget,
    compute_backlog,
    compute_capacity,
    compute_max_descriptors,
)
from ryelatch_node.listener import bind_listener
from ryelatch_node.ports import Address, RelayStartup, SettingsChanged
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
        self._acceptors: list[Acceptor] = []
        self._resources = _make_resources(context)
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
    def resources(self) -> ClientResources:
        """What the connections of clients share."""
        return self._resources

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
            interface='asgi3',
            ws='none',
            server_header=False,
            date_header=False,
        )
        config.load()
        startup = self._context.startup
        sockets = [
            self._listener or bind_listener(*startup.front),
            bind_listener(*startup.readiness),
            bind_listener(*startup.metrics),
        ]
        bound = [Address(*listening.getsockname()) for listening in sockets]
        self.front = bound[0]
        self.readiness = bound[1]
        self.metrics = bound[2]
        self._config = config
        self._server = uvicorn.Server(config)
        self._server.lifespan = config.lifespan_class(config)
        await self._server.startup([])
        for listening in sockets:
            self._accept(listening)

    def check_clients(self) -> None:
        """Apply the idle timeout to connections, and end those that hang."""
        if self._config is not None:
            # Clients may reuse a connection until the limit. Rounding up
            # avoids that a connection is closed while a request arrives.
            self._config.timeout_keep_alive = math.ceil(
                self._read_limits().idle_seconds
            )
        self._resources.connections.check()

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
        _apply_resources(self._resources, changed.startup)
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
        stopping = self._ingress.stop_state
        stopping.closing = True
        self._context.log.record(catalogue.NODE_DRAINING)
        loop = asyncio.get_running_loop()
        started = loop.time()
        grace_seconds = self._context.startup.grace
        refuse_after = max(
            grace_seconds / 2,
            grace_seconds - MARGIN_SECONDS - PLAIN_ANSWER_SECONDS,
        )
        serving_seconds = grace_seconds - MARGIN_SECONDS
        stopping.ends_at = self._context.now() + serving_seconds
        idle_seconds = 0.0
        while loop.time() - started < serving_seconds:
            await asyncio.sleep(_POLL_SECONDS)
            elapsed = loop.time() - started
            stopping.refuses_streams = elapsed > grace_seconds * STREAM_FRACTION
            stopping.refuses_long = elapsed > NOTICE_SECONDS
            stopping.refuses_all = elapsed > refuse_after
            busy = self._ingress.open_requests
            idle_seconds = 0.0 if busy else idle_seconds + _POLL_SECONDS
            if elapsed > NOTICE_SECONDS and idle_seconds > QUIET_SECONDS:
                return
        self._ingress.end_requests()
        await asyncio.sleep(_POLL_SECONDS)

    async def stop(self) -> None:
        """Close all connections and listening sockets."""
        if self._server is None:
            return
        for acceptor in self._acceptors:
            acceptor.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MARGIN_SECONDS / 2):
                await self._server.shutdown([])

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope['type'] != 'http':
            return
        if scope['server'][1] == self.front.port:
            await self._ingress.serve(scope, receive, send)
        else:
            await self._internal_app(scope, receive, send)

    def _accept(self, listening: socket.socket) -> None:
        """Listen on a socket, and accept its connections."""
        connections = self._resources.connections
        listening.listen(compute_backlog(connections.max_descriptors))
        acceptor = Acceptor(
            listening, self._make_protocol, connections, self._record_unaccepted
        )
        acceptor.start()
        self._acceptors.append(acceptor)

    def _make_protocol(self) -> BoundedReader:
        assert self._config is not None
        assert self._server is not None
        protocol = BoundedProtocol(
            config=self._config,
            server_state=self._server.server_state,
            app_state={},
            resources=self._resources,
        )
        return BoundedReader(protocol, self._resources.read_buffer)

    def _record_unaccepted(self, error: OSError) -> None:
        self._context.log.record(
            catalogue.CONNECTIONS_NOT_ACCEPTED,
            error=str(error),
            connections=len(self._resources.connections),
        )

    def _read_limits(self) -> ClientLimits:
        return self._resources.read_limits()

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


def _make_resources(context: RelayContext) -> ClientResources:
    """Make what all connections of clients share."""

    def read_limits() -> ClientLimits:
        table = context.configuration.table
        return table.configuration.limits if table else ClientLimits()

    connections = ConnectionTable(0, context.clock.monotonic)
    resources = ClientResources(
        connections,
        MemoryBudget(0, connections.free_memory),
        read_limits,
        context.log.record,
    )
    _apply_resources(resources, context.startup)
    return resources


def _apply_resources(resources: ClientResources, startup: RelayStartup) -> None:
    """Apply the memory and the descriptors of the settings."""
    resources.connections.max_descriptors = compute_max_descriptors(
        startup.max_files
    )
    resources.memory.capacity = compute_capacity(startup.memory_bytes)
