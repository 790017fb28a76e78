"""Keeps every layer held, under a lease with fencing numbers."""

import asyncio
import uuid
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
from ryelatch_node.views import (
    ConfigurationView,
    ReplicasChanged,
    ReplicaView,
)
from ryelatch_node.placement._lease import TAKE_SPREAD_SECONDS, LeaseManager
from ryelatch_node.placement._commands import OrderBook
from ryelatch_node.placement._timing import PlanTiming
from ryelatch_node.ports import (
    LeaseStore,
    NodeCountChanged,
    CommandResult,
    ReplicaCommands,
    RelayStartup,
)

GATHER_SECONDS = 0.05
"""Shortest time between two plans: changes come in runs."""

TICK_SECONDS = 0.25

IDLE_SECONDS = 1.0
"""The same for a node that has nothing to look after.

Only what expires shows at a tick; all else wakes it. Four looks a second at
two hundred replicas are half a percent of a small core.
"""

IMPROVE_SECONDS = 3.0
"""How long others leave a change to the holder where no layer is missing.

No request waits for it: an empty replica is put to use so much later if the
holder is lost. Only where layers are missing is it followed at once.
"""


IMPROVE_SPREAD = 10
"""By how much more others differ in patience then.

Each of them that outlasts the holder's silence works out a plan, mostly to
find that nothing is to be done.
"""

_Pools: TypeAlias = tuple[tuple[ModelProfile, list[Replica]], ...]
"""Models, each with the replicas that hold it or are to."""


@dataclass(frozen=True)
class _State:
    """What a plan depends on.

    :param missing: whether nobody holds some layer of a pool.
    :param ordered: names of replicas with an order under way.
    :param allow_relayout: whether pools may be laid out anew.
    """

    pools: _Pools
    missing: bool
    ordered: frozenset[str]
    allow_relayout: bool


@dataclass(eq=False)
class PlacementController:
    """Plans, and orders what the plan says if this node holds the lease."""

    log: LineLog
    clock: Clock
    configuration: ConfigurationView
    replicas: ReplicaView
    commands: ReplicaCommands
    lease: LeaseManager
    costs: UsageTracker = field(default_factory=UsageTracker)
    _planned: _State | None = None
    _seen: tuple[_Pools, bool] | None = None
    _timing: PlanTiming = field(default_factory=PlanTiming)
    _book: OrderBook = field(init=False)
    _wake: asyncio.Event = field(default_factory=asyncio.Event)
    _task: 'asyncio.Task[None] | None' = None

    def __post_init__(self) -> None:
        """Open the book of orders."""
        self._book = OrderBook(
            self.log,
            self.clock,
            self.configuration,
            self.replicas,
            self.commands,
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

    def share_among(self, counted: NodeCountChanged) -> None:
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
            await self._tend()
            await asyncio.sleep(GATHER_SECONDS)

    def _choose_tick(self) -> float:
        busy = self.lease.held or self._timing.need_since is not None
        return TICK_SECONDS if busy else IDLE_SECONDS

    async def _tend(self) -> None:
        await self._book.review_late()
        now = self.clock.monotonic()
        with self.costs.measure_time('look for gaps'):
            state = self._observe(now)
        needed = state is not None and state != self._planned
        self._timing.note_need(now, needed=needed)
        if state is None or not needed:
            return
        need_since = self._date_need(state)
        if not await self._take_turn(state, now, need_since):
            return
        with self.costs.measure_time('plan'):
            moves = self._plan(state, now)
        # Where a plan orders nothing it stays as it is until something
        # changes. Made anew at each tick, plans took more than half of a
        # node's processor time on a calm day: 0.083 of a core, 0.037 without.
        self._planned = None if moves else state
        if not moves:
            return
        if await self.lease.secure(self.clock.monotonic(), need_since):
            await self._give(moves)

    def _observe(self, now: float) -> _State | None:
        """See what there is to plan for; nothing while the list grows."""
        table = self.configuration.table
        listed = self.replicas.replicas.values()
        self._timing.note_replicas(listed, now)
        if table is None or not self._timing.is_settled(listed, now):
            return None
        pools = tuple(
            (terms.model, self._list_alive(terms.name, now))
            for terms in table.configuration.services.values()
            if terms.model is not None
        )
        missing = self._misses_layers(pools)
        self._timing.note_gap(now, missing=missing)
        return _State(
            pools=pools,
            missing=missing,
            ordered=self._book.open,
            allow_relayout=self._timing.may_lay_out(now)
            and not self._book.open,
        )

    def _misses_layers(self, pools: _Pools) -> bool:
        """Whether layers are missing; worked out when something changed."""
        if self._seen is None or self._seen[0] != pools:
            missing = any(lacks_layers(alive, model) for model, alive in pools)
            self._seen = (pools, missing)
        return self._seen[1]

    def _list_alive(self, service: str, now: float) -> list[Replica]:
        return [
            self._book.foresee(replica, now)
            for replica in self.replicas.list_reachable(service)
        ]

    def _date_need(self, state: _State) -> float:
        """Tell since when there has been something to look after."""
        need_since = self._timing.need_since or self.clock.monotonic()
        if state.missing:
            return need_since
        return (
            need_since + IMPROVE_SECONDS + IMPROVE_SPREAD * self.lease.patience
        )

    async def _take_turn(
        self,
        state: _State,
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
            return await self.lease.secure(now, need_since)
        return self.lease.is_turn(now, need_since)

    def _plan(self, state: _State, now: float) -> list[Move]:
        """Plan the orders that are due now."""
        moves = [
            move
            for model, alive in state.pools
            for move in plan_moves(
                alive, model, allow_relayout=state.allow_relayout
            )
            if move.replica.name not in state.ordered
        ]
        if state.allow_relayout and moves and self.lease.held:
            self._timing.note_layout(now)
        return moves

    async def _give(self, moves: list[Move]) -> None:
        results = await asyncio.gather(*map(self._book.give, moves))
        if CommandResult.FENCED in results:
            # Another node orders under a higher number; its turn counts anew.
            self._timing.need_since = self.clock.monotonic()


def setup(app: App) -> None:
    """Add the service ``placement``."""
    startup = app.find('startup', RelayStartup)
    log = app.find('log', LineLog)
    duty = PlacementController(
        log=log,
        clock=app.clock,
        configuration=app.find('configuration', ConfigurationView),
        replicas=app.find('replicas', ReplicaView),
        commands=app.find('orders', ReplicaCommands),
        costs=app.find('costs', UsageTracker),
        lease=LeaseManager(
            log=log,
            clock=app.clock,
            store=app.find('leases', LeaseStore),
            spread=app.random_source.uniform(0, TAKE_SPREAD_SECONDS),
            holder=f'{startup.name}/{uuid.uuid4().hex[:8]}',
        ),
    )
    app.hub.connect(ReplicasChanged, duty.wake)
    app.hub.connect(NodeCountChanged, duty.share_among)
    app.add(
        Service(
            'placement',
            duty,
            ('configuration', 'replicas'),
            start=duty.start,
            stop=duty.stop,
        )
    )
