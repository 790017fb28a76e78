"""Places layers on replicas so that every layer of a model is held.

One node does so at a time, under a lease with fencing numbers.
"""

import asyncio
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeAlias

from ryelatch_core.events import LineLog, UsageTracker, keep_running
from ryelatch_core.fleet import (
    ModelProfile,
    Move,
    Replica,
    lacks_layers,
    plan_moves,
)
from ryelatch_core.kernel import App, Clock, Service, cancel_task
from ryelatch_node.links import Links, LinksChanged
from ryelatch_node.placement._commands import CommandSender
from ryelatch_node.placement._lease import BASE_JITTER_SECONDS, LeaseManager
from ryelatch_node.placement._timing import PlanTiming
from ryelatch_node.ports import (
    CommandResult,
    LeaseStore,
    NodeCountChanged,
    RelayStartup,
    ReplicaCommands,
)
from ryelatch_node.views import (
    ConfigurationView,
    ReplicasChanged,
    ReplicaView,
)

MIN_PLAN_INTERVAL_SECONDS = 0.05
"""Minimum time between two plans, as changes come in bursts."""

TICK_SECONDS = 0.25
"""Interval of checks while this node holds the lease or sees work to do."""

IDLE_TICK_SECONDS = 1.0
"""Interval of checks at all other times.

These checks only find what expires, as all other changes wake the controller.
Four checks a second of two hundred replicas take 0.5% of a small core.
"""

IMPROVEMENT_DELAY_SECONDS = 3.0
"""Additional time before the lease is taken where no layer is missing.

No request waits for such a change. If the holder is lost, an empty replica is
put to use later by this time; only missing layers call for a fast takeover.
"""

IMPROVEMENT_JITTER_FACTOR = 10
"""Factor by which the takeover jitter grows where no layer is missing.

Each node whose wait ends while the holder does nothing computes a plan, which
is usually empty.
"""

_Pools: TypeAlias = tuple[tuple[ModelProfile, list[Replica]], ...]
"""Models, each with the reachable replicas of its service."""


@dataclass(frozen=True)
class _PlanInput:
    """The state that a plan is computed from.

    :param missing: whether a pool has a layer that no replica holds.
    :param pending: names of replicas with a command in progress.
    :param allow_relayout: whether all layers of a pool may be assigned anew.
    """

    pools: _Pools
    missing: bool
    pending: frozenset[str]
    allow_relayout: bool


def _may_always_plan() -> bool:
    return True


@dataclass(eq=False)
class PlacementController:
    """Plans layer placement; commands replicas while it holds the lease.

    :param may_plan: whether this node can tell lost replicas from links that
        it has lost itself.
    """

    log: LineLog
    clock: Clock
    configuration: ConfigurationView
    replicas: ReplicaView
    commands: ReplicaCommands
    lease: LeaseManager
    usage: UsageTracker = field(default_factory=UsageTracker)
    may_plan: Callable[[], bool] = _may_always_plan
    _planned: _PlanInput | None = None
    _last_gap_check: tuple[_Pools, bool] | None = None
    _timing: PlanTiming = field(default_factory=PlanTiming)
    _commands: CommandSender = field(init=False)
    _wake: asyncio.Event = field(default_factory=asyncio.Event)
    _task: 'asyncio.Task[None] | None' = None

    def __post_init__(self) -> None:
        """Create the sender of commands."""
        self._commands = CommandSender(
            self.log,
            self.clock,
            self.configuration,
            self.replicas,
            self.commands,
            self.lease,
        )

    async def start(self) -> None:
        """Start to check the layers."""
        self._task = asyncio.create_task(
            keep_running('placement', self._run, self.log)
        )

    async def stop(self) -> None:
        """Stop planning."""
        await cancel_task(self._task)

    def wake(self, _: ReplicasChanged | LinksChanged) -> None:
        """Check the layers soon, as what this node knows has changed."""
        self._wake.set()

    def set_node_count(self, counted: NodeCountChanged) -> None:
        """Scale the takeover jitter to the number of nodes."""
        self.lease.nodes = counted.nodes

    async def _run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(self._choose_tick()):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            await self._reconcile()
            await asyncio.sleep(MIN_PLAN_INTERVAL_SECONDS)

    def _choose_tick(self) -> float:
        busy = self.lease.held or self._timing.need_since is not None
        return TICK_SECONDS if busy else IDLE_TICK_SECONDS

    async def _reconcile(self) -> None:
        await self._commands.check_overdue()
        if not self.may_plan():
            # Other nodes reach what this one doesn't. The lease isn't renewed,
            # so one of them takes it if there is work to do.
            return
        now = self.clock.monotonic()
        with self.usage.measure_time('look for gaps'):
            state = self._observe(now)
        needed = state is not None and state != self._planned
        self._timing.record_need(now, needed=needed)
        if state is None or not needed:
            return
        need_since = self._compute_need_since(state)
        if not await self._acquire_turn(state, now, need_since):
            return
        with self.usage.measure_time('plan'):
            moves = self._plan(state, now)
        # An empty plan stays valid until its input changes. When plans were
        # computed again at each tick, they took more than half of a node's CPU
        # time under low load: 0.083 cores with them, 0.037 without.
        self._planned = None if moves else state
        if not moves:
            return
        if await self.lease.acquire(self.clock.monotonic(), need_since):
            await self._send_all(moves)

    def _observe(self, now: float) -> _PlanInput | None:
        """Collect the input of a plan, and update the timing.

        The timing records the listed replicas at each call, and whether layers
        are missing at each call that returns an input.

        :param now: monotonic seconds.
        :returns: ``None`` without a configuration, or while no listed replica
            holds layers and the list is empty or has grown within the last
            ``SETTLE_SECONDS``.
        """
        table = self.configuration.table
        listed = self.replicas.replicas.values()
        self._timing.record_replicas(listed, now)
        if table is None or not self._timing.is_settled(listed, now):
            return None
        pools = tuple(
            (service.model, self._list_reachable(service.name, now))
            for service in table.configuration.services.values()
            if service.model is not None
        )
        missing = self._lacks_layers(pools)
        self._timing.record_gap(now, missing=missing)
        return _PlanInput(
            pools=pools,
            missing=missing,
            pending=self._commands.pending_names,
            allow_relayout=self._timing.may_relayout(now)
            and not self._commands.pending_names,
        )

    def _lacks_layers(self, pools: _Pools) -> bool:
        """Whether layers are missing; computed only when pools have changed."""
        if self._last_gap_check is None or self._last_gap_check[0] != pools:
            missing = any(
                lacks_layers(reachable, model) for model, reachable in pools
            )
            self._last_gap_check = (pools, missing)
        return self._last_gap_check[1]

    def _list_reachable(self, service: str, now: float) -> list[Replica]:
        return [
            self._commands.apply_pending(replica, now)
            for replica in self.replicas.list_reachable(service)
        ]

    def _compute_need_since(self, state: _PlanInput) -> float:
        """Compute since when the need for work counts for taking the lease."""
        need_since = self._timing.need_since or self.clock.monotonic()
        if state.missing:
            return need_since
        return (
            need_since
            + IMPROVEMENT_DELAY_SECONDS
            + IMPROVEMENT_JITTER_FACTOR * self.lease.jitter
        )

    async def _acquire_turn(
        self,
        state: _PlanInput,
        now: float,
        need_since: float,
    ) -> bool:
        """Return whether this node is to plan now.

        All nodes see the same state. If each of them planned at every change,
        the fleet would spend CPU time, in proportion to its size, on plans that
        are not executed: a plan for 205 replicas takes 56 ms, the first one
        257 ms, while a check for gaps takes 0.6 ms. Where layers are missing,
        the lease is taken before planning, so that nodes whose turns are close
        together don't all compute the same repair.
        """
        if state.missing:
            return await self.lease.acquire(now, need_since)
        return self.lease.is_turn(now, need_since)

    def _plan(self, state: _PlanInput, now: float) -> list[Move]:
        """Compute the commands that are due now."""
        moves = [
            move
            for model, reachable in state.pools
            for move in plan_moves(
                reachable, model, allow_relayout=state.allow_relayout
            )
            if move.replica.name not in state.pending
        ]
        if state.allow_relayout and moves and self.lease.held:
            self._timing.record_relayout(now)
        return moves

    async def _send_all(self, moves: list[Move]) -> None:
        results = await asyncio.gather(*map(self._commands.send, moves))
        if CommandResult.FENCED in results:
            # Another node sends commands under a higher fencing number. The
            # need counts from now, so that this node waits for its turn again.
            self._timing.need_since = self.clock.monotonic()


def setup(app: App) -> None:
    """Add the service ``placement``."""
    startup = app.find('startup', RelayStartup)
    log = app.find('log', LineLog)
    links = app.find('links', Links)
    controller = PlacementController(
        log=log,
        clock=app.clock,
        configuration=app.find('configuration', ConfigurationView),
        replicas=app.find('replicas', ReplicaView),
        commands=app.find('orders', ReplicaCommands),
        usage=app.find('costs', UsageTracker),
        may_plan=lambda: links.reliable,
        lease=LeaseManager(
            log=log,
            clock=app.clock,
            store=app.find('leases', LeaseStore),
            base_jitter=app.random_source.uniform(0, BASE_JITTER_SECONDS),
            holder=f'{startup.name}/{uuid.uuid4().hex[:8]}',
        ),
    )
    app.hub.connect(ReplicasChanged, controller.wake)
    app.hub.connect(LinksChanged, controller.wake)
    app.hub.connect(NodeCountChanged, controller.set_node_count)
    app.add(
        Service(
            'placement',
            controller,
            ('configuration', 'replicas'),
            start=controller.start,
            stop=controller.stop,
        )
    )
