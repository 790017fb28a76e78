"""The listening side of a node: clients, the balancer, metrics."""

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
from ryelatch_node.listener import BACKLOG, bind_listener
from ryelatch_node.ports import Address, SettingsChanged
from ryelatch_node.relay._budget import (
    NODES_BEFORE_COUNT,
    RetryAllowance,
    resize_budget,
)
from ryelatch_node.relay._ingress import Ingress
from ryelatch_node.relay._metrics import RelayMetrics
from ryelatch_node.relay._parts import RelayContext
from ryelatch_node.relay._protocol import BoundedProtocol

NOTICE_SECONDS = 3.0
"""How long a stopping node serves new requests as usual.

The balancer asks every second and takes a node out after two misses.
"""

QUIET_SECONDS = 0.5
"""How long nothing may be in progress before a stopping node ends."""

MARGIN_SECONDS = 0.5
"""Time kept back from the grace for closing connections."""

STREAM_SHARE = 0.35
"""Share of the grace in which a stopping node still takes streams.

One in ten streams lasts over four seconds. A stream that is taken later is
cut off by the end of the process, and its client, told to come back at once,
has it from another node.
"""

ANSWER_SECONDS = 3.5
"""Time kept for plain answers in progress; they take 1.5 s at most."""

_POLL_SECONDS = 0.05
_UNAVAILABLE = 503


class RelayServer:
    """Listens on three addresses and ends without cutting anything off.

    :param listener: where clients wait already, if they do.
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
        self._counted = metrics
        self._server: uvicorn.Server | None = None
        self._config: uvicorn.Config | None = None
        self._nodes = NODES_BEFORE_COUNT
        self._sockets: list[socket.socket] = []
        # Where it listens; the system chooses for a port of 0.
        self.front = context.startup.front
        self.readiness = context.startup.readiness
        self.metrics = context.startup.metrics
        self._inner = Starlette(
            routes=[
                Route('/readyz', self._tell_ready),
                Route('/metrics', self._tell_metrics),
            ]
        )

    @property
    def ready(self) -> bool:
        """Whether new clients should be sent here."""
        context = self._context
        if self._ingress.stops.closing or context.configuration.table is None:
            return False
        return context.replicas.listed and context.configuration.allows_keys()

    async def start(self) -> None:
        """Listen."""
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
        bound = [Address(*one.getsockname()) for one in self._sockets]
        self.front = bound[0]
        self.readiness = bound[1]
        self.metrics = bound[2]
        self._config = config
        self._server = uvicorn.Server(config)
        self._server.lifespan = config.lifespan_class(config)
        await self._server.startup(self._sockets)

    def apply_limits(self) -> None:
        """Keep idle connections for as long as the configuration says."""
        limits = self._read_limits()
        if limits is not None and self._config is not None:
            # Clients may reuse a connection up to the limit; closing a little
            # late crosses none of their requests.
            self._config.timeout_keep_alive = math.ceil(limits.idle_seconds)

    def set_node_count(self, nodes: int) -> None:
        """Take this node's slice of what all nodes share.

        :param nodes: nodes that there are.
        """
        self._nodes = nodes
        self._context.load.set_node_count(nodes)
        self._apply_budget()

    def apply_settings(self, changed: SettingsChanged) -> None:
        """Take settings that changed while this process runs."""
        self._context.startup = changed.startup
        self._context.configuration.set_bound(changed.startup.revoke_seconds)
        self._context.replicas.freshness.bounds = compute_departure_bounds(
            changed.startup.drain_seconds, changed.startup.steady_seconds
        )
        self._apply_budget()

    async def drain(self) -> None:
        """Serve what comes until the clients have left or the grace ends.

        The balancer goes on sending new connections until it has seen twice
        that this node isn't ready, and clients of kept connections go on
        until an answer says that theirs closes.
        """
        self._ingress.stops.closing = True
        self._context.log.record(catalogue.NODE_DRAINING)
        loop = asyncio.get_running_loop()
        begun = loop.time()
        grace = self._context.startup.grace
        last_call = max(grace / 2, grace - MARGIN_SECONDS - ANSWER_SECONDS)
        quiet = 0.0
        while loop.time() - begun < grace - MARGIN_SECONDS:
            await asyncio.sleep(_POLL_SECONDS)
            passed = loop.time() - begun
            self._ingress.stops.refuses_streams = passed > grace * STREAM_SHARE
            self._ingress.stops.last_call = passed > last_call
            busy = self._ingress.open_requests
            quiet = 0.0 if busy else quiet + _POLL_SECONDS
            if passed > NOTICE_SECONDS and quiet > QUIET_SECONDS:
                return

    async def stop(self) -> None:
        """Close everything."""
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
            await self._inner(scope, receive, send)

    def _make_protocol(
        self, *arguments: Any, **options: Any
    ) -> BoundedProtocol:
        return BoundedProtocol(
            *arguments,
            read_limits=self._read_limits,
            log=self._context.log,
            **options,
        )

    def _read_limits(self) -> ClientLimits | None:
        table = self._context.configuration.table
        return table.configuration.limits if table else None

    def _apply_budget(self) -> None:
        startup = self._context.startup
        terms = RetryAllowance(
            startup.retry_ratio, startup.retry_extra, startup.retry_window
        )
        resize_budget(self._context.budget, terms, self._nodes)

    async def _tell_ready(self, request: Request) -> Response:
        if self.ready:
            return PlainTextResponse('ready\n')
        return PlainTextResponse('not ready\n', _UNAVAILABLE)

    async def _tell_metrics(self, request: Request) -> Response:
        return PlainTextResponse(self._counted.expose())
