"""Registers the services of the relay with the application of a node."""

import asyncio
from collections.abc import Callable

from ryelatch_core.events import LineLog, UsageTracker, catalogue, keep_running
from ryelatch_core.fleet import LoadTracker, Replica
from ryelatch_core.kernel import App, LagMeter, Service, cancel_task
from ryelatch_node.connections import make_surplus_hook
from ryelatch_node.forwarding import ForwardClient
from ryelatch_node.links import Links, LinksChanged
from ryelatch_node.listener import Listener
from ryelatch_node.peer_sync import PeerSync
from ryelatch_node.ports import (
    AnswerMetadata,
    HeaderCodec,
    NodeCountChanged,
    RelayStartup,
    ReplicaCommands,
    SettingsChanged,
)
from ryelatch_node.quarantine import Quarantine
from ryelatch_node.relay._budget import RetryAllowance, make_budgets
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._end_checks import EndChecks
from ryelatch_node.relay._forward_server import ForwardServer
from ryelatch_node.relay._ingress import Ingress
from ryelatch_node.relay._metrics import RelayMetrics
from ryelatch_node.relay._probe import Prober
from ryelatch_node.relay._server import RelayServer
from ryelatch_node.relay._upstream import AnswerHook, Upstreams
from ryelatch_node.relay._watch import StreamWatch
from ryelatch_node.reservations import Reservations
from ryelatch_node.throttle import Throttle
from ryelatch_node.views import ConfigurationView, ReplicaView

ASSUMED_NODES = 8
"""Number of nodes that is assumed to share the load until they are counted.

Each deployment has 7 or 8 entry VMs. Where there are more, the load of the
other nodes is underestimated for two seconds.
"""

HOUSEKEEPING_SECONDS = 0.5

COSTS_SECONDS = 10.0
"""Interval at which a node logs its resource usage, in a line of about 1 kB."""


class Housekeeper:
    """Runs the periodic maintenance of a node's state."""

    def __init__(self, context: RelayContext, server: RelayServer) -> None:
        self._context = context
        self._server = server
        self._task: asyncio.Task[None] | None = None
        self._costs_recorded = 0.0

    async def start(self) -> None:
        """Start the periodic maintenance."""
        self._task = asyncio.create_task(
            keep_running('housekeeper', self._run, self._context.log)
        )

    async def stop(self) -> None:
        """Stop the maintenance and log the resource usage a last time."""
        await cancel_task(self._task)
        self._record_costs()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_SECONDS)
            self._context.replicas.drop_expired()
            self._context.budgets.refill(HOUSEKEEPING_SECONDS)
            self._forget_removed()
            self._context.windows.forget_old(self._context.now())
            self._context.quarantine.evaluate()
            self._context.links.forget_removed()
            self._context.forwarding.close_idle()
            self._context.configuration.allows_keys()
            self._context.replicas.freshness.check()
            self._server.check_clients()
            self._context.log.report_dropped()
            if (
                self._context.clock.monotonic() - self._costs_recorded
                > COSTS_SECONDS
            ):
                self._record_costs()
            self._context.log.flush()

    def _forget_removed(self) -> None:
        """Drop what was observed of replicas that are no longer listed."""
        context = self._context
        names = context.replicas.replicas
        for tracker in (
            context.load,
            context.windows,
            context.slow_replicas.tracker,
            context.failures,
            context.durations,
            context.throttle,
        ):
            tracker.keep(names)

    def _record_costs(self) -> None:
        self._costs_recorded = self._context.clock.monotonic()
        self._context.log.record(
            catalogue.NODE_COSTS,
            life=self._context.usage.incarnation,
            counts=self._context.usage.list_counts(),
            seconds=self._context.usage.list_seconds(),
        )


def setup(app: App) -> None:
    """Add the services of the relay.

    These are ``upstreams``, ``streams``, ``server`` and ``housekeeper``.
    """
    context = _collect_parts(app)
    watch = StreamWatch(context, Prober(context), lag=context.lag)
    metrics = RelayMetrics(
        context.log,
        {
            'streams_open': lambda: len(watch.streams),
            'configuration_version': lambda: context.configuration.version,
            'configuration_age_seconds': lambda: context.configuration.age,
            'registry_age_seconds': lambda: context.replicas.freshness.age,
            'replicas_listed': lambda: len(context.replicas.replicas),
            'entries_refused': lambda: context.replicas.refused,
            'replicas_suspected': lambda: len(context.replicas.list_suspects()),
            'first_replicas_full': lambda: len(context.windows.list_closed()),
            'parts_quarantined': lambda: context.quarantine.count_refused(
                parts=True
            ),
            'requests_quarantined': lambda: context.quarantine.count_refused(
                parts=False
            ),
            'requests_waiting': (
                context.reservations.controllers.count_waiting
            ),
            'places_reserved': context.reservations.controllers.count_reserved,
            'links_lost': lambda: len(context.links.lost),
            'requests_forwarded': context.links.helpers.busy.total,
            'requests_taken': lambda: forward_server.in_progress,
            'replicas_limited': lambda: context.throttle.count_limited(),
            'requests_suspected': lambda: context.quarantine.count_suspects(),
            'retries_left': lambda: context.budgets.left,
            'log_lines_dropped': lambda: context.log.dropped,
            'client_connections': lambda: len(server.resources.connections),
            'client_memory_bytes': lambda: server.resources.memory.used,
        },
        context.usage,
    )
    ingress = Ingress(context, watch, metrics, _make_outage_check(app))
    forward_server = ForwardServer(context, ingress, watch.lag)
    _serve_other_nodes(app, context, forward_server)
    server = RelayServer(
        context,
        ingress,
        metrics,
        app.find('listener', Listener).front,
    )
    housekeeper = Housekeeper(context, server)
    app.hub.connect(SettingsChanged, server.apply_settings)
    app.hub.connect(
        NodeCountChanged, lambda counted: server.set_node_count(counted.nodes)
    )
    upstreams = context.upstreams
    app.add(
        Service(
            'upstreams', upstreams, start=upstreams.start, stop=upstreams.stop
        )
    )
    app.add(
        Service(
            'streams',
            watch,
            ('upstreams',),
            start=watch.start,
            stop=watch.stop,
        )
    )
    app.add(
        Service(
            'server',
            server,
            ('streams', 'configuration', 'replicas', 'quarantine'),
            start=server.start,
            stop=server.stop,
        )
    )
    app.add(
        Service(
            'housekeeper',
            housekeeper,
            ('server',),
            start=housekeeper.start,
            stop=housekeeper.stop,
        )
    )


def _serve_other_nodes(
    app: App, context: RelayContext, server: ForwardServer
) -> None:
    """Let nodes without links forward requests, and forward own ones."""
    context.links.get_room = server.get_room
    app.find('news', PeerSync).server.serve_forwarded = server.serve

    def apply_links(changed: LinksChanged) -> None:
        context.replicas.apply_cut(changed.lost)
        context.quarantine.retract_crashes(context.replicas.cut.list_names())
        context.upstreams.abort_connecting(
            replica.address
            for replica in context.replicas.replicas.values()
            if context.links.is_lost(replica)
        )

    app.hub.connect(LinksChanged, apply_links)


def _collect_parts(app: App) -> RelayContext:
    startup = app.find('startup', RelayStartup)
    wire = app.find('wire', HeaderCodec)
    load = LoadTracker()
    load.set_node_count(ASSUMED_NODES)
    throttle = app.find('throttle', Throttle)
    replicas = app.find('replicas', ReplicaView)
    links = app.find('links', Links)
    configuration = app.find('configuration', ConfigurationView)
    commands = app.find('orders', ReplicaCommands)
    lag = LagMeter()
    log = app.find('log', LineLog)
    end_checks = EndChecks(
        app.clock, commands, replicas, configuration, throttle, lag
    )
    return RelayContext(
        startup=startup,
        log=log,
        clock=app.clock,
        random_source=app.random_source,
        configuration=configuration,
        replicas=replicas,
        upstreams=Upstreams(
            wire,
            app.clock,
            end_checks.find_end,
            _make_answer_hook(throttle, replicas),
            links.record_connected,
            links.record_failed_address,
            make_surplus_hook(log),
        ),
        wire=wire,
        commands=commands,
        budgets=make_budgets(
            RetryAllowance(
                startup.retry_ratio, startup.retry_extra, startup.retry_window
            )
        ),
        quarantine=app.find('quarantine', Quarantine),
        throttle=throttle,
        reservations=app.find('reservations', Reservations),
        links=links,
        forwarding=app.find('forwarding', ForwardClient),
        usage=app.find('costs', UsageTracker),
        load=load,
        lag=lag,
    )


def _make_outage_check(app: App) -> Callable[[], bool]:
    """Create the function that tells whether the store is unavailable."""
    peer_server = app.find('news', PeerSync).server
    return lambda: peer_server.get_store_health().out


def _make_answer_hook(throttle: Throttle, replicas: ReplicaView) -> AnswerHook:
    """Create the hook that applies what replicas state in their answers."""

    def on_answer(replica: Replica, terms: AnswerMetadata) -> None:
        # Another replica may have the address by now.
        if terms.entry not in {'', replica.entry}:
            return
        throttle.record_answer(replica, terms)
        if terms.leaving:
            replicas.record_leaving(replica)

    return on_answer
