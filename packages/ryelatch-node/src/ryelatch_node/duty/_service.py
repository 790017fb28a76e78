"""Keeps every layer held, under a lease with fencing numbers."""

import asyncio
import uuid
from dataclasses import dataclass, field
from typing import TypeAlias

from ryelatch_core.events import CostBook, LineLog, keep_running
from ryelatch_core.fleet import (
    ModelProfile,
    Move,
    Replica,
    misses_layers,
    plan_moves,
)
from ryelatch_core.kernel import App, Clock, Service, cancel_task
from ryelatch_node.beliefs import (
    ConfigurationView,
    ReplicasChanged,
    ReplicaView,
)
from ryelatch_node.duty._lease import BASE_JITTER_SECONDS, LeaseKeeper
from ryelatch_node.duty._orders import CommandSender
from ryelatch_node.duty._timing import PlanTiming
from ryelatch_node.ports import (
    LeaseStore,
    NodesCounted,
    OrderResult,
    Orders,
    RelayStartup,
)

MIN_PLAN_INTERVAL_SECONDS = 0.05
"""Shortest time between two plans: changes come in runs."""

TICK_SECONDS = 0.25

IDLE_TICK_SECONDS = 1.0
"""The same for a node that has nothing to look after.

Only what expires shows at a tick; all else wakes it. Four looks a second at
two hundred replicas are half a percent of a small core.
"""

IMPROVEMENT_DELAY_SECONDS = 3.0
"""How long others leave a change to the holder where no layer is missing.

No request waits for it: an empty replica is put to use so much later if the
holder is lost. Only where layers are missing is it followed at once.
"""


IMPROVEMENT_JITTER_FACTOR = 10
"""By how much more others differ in patience then.

Each of them that outlasts the holder's silence works out a plan, mostly to
find that nothing is to be done.
"""

_Pools: TypeAlias = tuple[tuple[ModelProfile, list[Replica]], ...]
"""Models, each with the replicas that hold it or are to."""


@dataclass(frozen=True)
class _PlanInput:
    """What a plan depends on.

    :param missing: whether nobody holds some layer of a pool.
    :param pending: names of replicas with an order under way.
    :param thorough: whether pools may be laid out anew.
    """

    pools: _Pools
    missing: bool
    pending: frozenset[str]
    thorough: bool


@dataclass(eq=False)
class PlacementDuty:
    """Plans, and orders what the plan says if this node holds the lease."""

    log: LineLog
    clock: Clock
    configuration: ConfigurationView
    replicas: ReplicaView
    orders: Orders
    lease: LeaseKeeper
    usage: CostBook = field(default_factory=CostBook)
    _planned: _PlanInput | None = None
    _checked_pools: tuple[_Pools, bool] | None = None
    _timing: PlanTiming = field(default_factory=PlanTiming)
    _commands: CommandSender = field(init=False)
    _wake: asyncio.Event = field(default_factory=asyncio.Event)
    _task: 'asyncio.Task[None] | None' = None

    def __post_init__(self) -> None:
        """Open the book of orders."""
        self._commands = CommandSender(
            self.log,
            self.clock,
            self.configuration,
            self.replicas,
            self.orders,
            self.lease,
        )

    async def start(self) -> None:
        """Begin to look after the layers."""
        self._task = asyncio.create_task(
            keep_running('placement', self._run, self.log)
        )

    async def stop(self) -> None:
        """Stop."""
        await cancel_task(self._task)

    def wake(self, _: ReplicasChanged) -> None:
        """Look again, as something has changed."""
        self._wake.set()

    def set_node_count(self, counted: NodesCounted) -> None:
        """Be as patient as the number of nodes demands."""
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
        now = self.clock.monotonic()
        with self.usage.spend('look for gaps'):
            state = self._observe(now)
        needed = state is not None and state != self._planned
        self._timing.record_need(now, needed=needed)
        if state is None or not needed:
            return
        need_since = self._compute_need_since(state)
        if not await self._acquire_turn(state, now, need_since):
            return
        with self.usage.spend('plan'):
            moves = self._plan(state, now)
        # Where a plan orders nothing it stays as it is until something
        # changes. Made anew at each tick, plans took more than half of a
        # node's processor time on a calm day: 0.083 of a core, 0.037 without.
        self._planned = None if moves else state
        if not moves:
            return
        if await self.lease.acquire(self.clock.monotonic(), need_since):
            await self._send_all(moves)

    def _observe(self, now: float) -> _PlanInput | None:
        """See what there is to plan for; nothing while the list grows."""
        table = self.configuration.table
        listed = self.replicas.replicas.values()
        self._timing.record_replicas(listed, now)
        if table is None or not self._timing.is_settled(listed, now):
            return None
        pools = tuple(
            (service.model, self._list_alive(service.name, now))
            for service in table.configuration.services.values()
            if service.model is not None
        )
        missing = self._lacks_layers(pools)
        self._timing.record_gap(now, missing=missing)
        return _PlanInput(
            pools=pools,
            missing=missing,
            pending=self._commands.pending_names,
            thorough=self._timing.may_relayout(now)
            and not self._commands.pending_names,
        )

    def _lacks_layers(self, pools: _Pools) -> bool:
        """Whether layers are missing; worked out when something changed."""
        if self._checked_pools is None or self._checked_pools[0] != pools:
            missing = any(misses_layers(alive, model) for model, alive in pools)
            self._checked_pools = (pools, missing)
        return self._checked_pools[1]

    def _list_alive(self, service: str, now: float) -> list[Replica]:
        return [
            self._commands.apply_pending(replica, now)
            for replica in self.replicas.list_alive(service)
        ]

    def _compute_need_since(self, state: _PlanInput) -> float:
        """Tell since when there has been something to look after."""
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
        """Tell whether this node is the one to plan now.

        Every node sees what the holder of the lease sees. Planned by all at
        each change, a fleet spends processor time on plans that nobody carries
        out, in proportion to its nodes: a plan of 205 replicas takes 56 ms of a
        core, the first one 257 ms, where a look for gaps takes 0.6 ms.
        Where layers are missing the lease comes first, so that nodes whose
        turns are close don't all work out the same repair.
        """
        if state.missing:
            return await self.lease.acquire(now, need_since)
        return self.lease.is_turn(now, need_since)

    def _plan(self, state: _PlanInput, now: float) -> list[Move]:
        """Plan the orders that are due now."""
        moves = [
            move
            for model, alive in state.pools
            for move in plan_moves(alive, model, thorough=state.thorough)
            if move.replica.name not in state.pending
        ]
        if state.thorough and moves and self.lease.held:
            self._timing.record_relayout(now)
        return moves

    async def _send_all(self, moves: list[Move]) -> None:
        results = await asyncio.gather(*map(self._commands.send, moves))
        if OrderResult.FENCED in results:
            # Another node orders under a higher number; its turn counts anew.
            self._timing.need_since = self.clock.monotonic()


def setup(app: App) -> None:
    """Add the service ``placement``."""
    startup = app.find('startup', RelayStartup)
    log = app.find('log', LineLog)
    controller = PlacementDuty(
        log=log,
        clock=app.clock,
        configuration=app.find('configuration', ConfigurationView),
        replicas=app.find('replicas', ReplicaView),
        orders=app.find('orders', Orders),
        usage=app.find('costs', CostBook),
        lease=LeaseKeeper(
            log=log,
            clock=app.clock,
            store=app.find('leases', LeaseStore),
            base_jitter=app.chance.uniform(0, BASE_JITTER_SECONDS),
            holder=f'{startup.name}/{uuid.uuid4().hex[:8]}',
        ),
    )
    app.hub.connect(ReplicasChanged, controller.wake)
    app.hub.connect(NodesCounted, controller.set_node_count)
    app.add(
        Service(
            'placement',
            controller,
            ('configuration', 'replicas'),
            start=controller.start,
            stop=controller.stop,
        )
    )
