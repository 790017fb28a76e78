"""Keeps every layer held, under a lease with fencing numbers."""

import asyncio
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ryelatch_core.events import LineLog, catalogue, keep_running
from ryelatch_core.fleet import (
    LayerRange,
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
from ryelatch_node.duty._lease import TAKE_SPREAD_SECONDS, LeaseKeeper
from ryelatch_node.ports import (
    LeaseStore,
    OrderResult,
    Orders,
    RelayStartup,
)

PERSISTENT_SECONDS = 2.5
"""How long a gap must last before its zone is laid out anew.

Replicas that crash are mostly back within four seconds, and replaced ones
have successors; laying out anew loads most of a zone.
"""

GATHER_SECONDS = 0.05
"""Shortest time between two plans: changes come in runs."""

SETTLE_SECONDS = 1.5
"""How long the list must not grow before an empty fleet is planned.

Replicas register over four to five seconds after a first start, several a
second; a plan for the first few would have to be done again.
"""

LOAD_MARGIN_SECONDS = 2.0
"""How much longer than reckoned a load may take before it is given up.

More than six loads at a time share the store of weights.
"""

UNANSWERED_SECONDS = 1.0
"""How long an order without an answer is taken to be under way.

After that it is given again, under the same expected sequence: whichever of
the two the replica carries out first makes it refuse the other.
"""

BUSY_SECONDS = 2.0
"""How long a replica that is busy with an earlier order is left alone.

A usual answer lasts as long, and layers are given up when those that pass
through them have ended. Asked every second, a zone of busy replicas refused
177 orders in a day.
"""

LAYOUT_REST_SECONDS = 12.0
"""How long a zone that was laid out anew is not laid out again.

Replicas first finish what passes through the layers that they give up, up to
ten seconds. When replicas are replaced one a second, each of them would
change all ranges, and the zone would never be whole.
"""

STEADY_SECONDS = 2.5
"""How long no replica may have come or gone before a zone is laid out."""

TICK_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class _Pending:
    """Layers that a replica was ordered to hold."""

    layers: LayerRange
    until: float
    busy: bool = False


@dataclass(eq=False)
class PlacementDuty:
    """Plans, and orders what the plan says if this node holds the lease."""

    log: LineLog
    clock: Clock
    configuration: ConfigurationView
    replicas: ReplicaView
    orders: Orders
    lease: LeaseKeeper
    _need_since: float | None = None
    _gap_since: float | None = None
    _planned: object = None
    _members: frozenset[str] = frozenset()
    _members_since: float = 0
    _laid_out: float = float('-inf')
    _grown: float = 0
    _known: int = 0
    _pending: dict[str, _Pending] = field(default_factory=dict)
    _sequences: dict[str, int] = field(default_factory=dict)
    _wake: asyncio.Event = field(default_factory=asyncio.Event)
    _task: 'asyncio.Task[None] | None' = None

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

    async def _run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(TICK_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            await self._tend()
            await asyncio.sleep(GATHER_SECONDS)

    async def _tend(self) -> None:
        await self._review_late()
        moves = self._plan()
        now = self.clock.monotonic()
        if not moves or self._need_since is None:
            return
        if not await self.lease.secure(now, self._need_since):
            return
        await asyncio.gather(*(self._order(move) for move in moves))

    async def _review_late(self) -> None:
        """Ask replicas that are late with an order whether they are at it.

        One that gives up layers begins to load when the last answer through
        them has ended. Taken for idle meanwhile, it was given the order again
        every two seconds, and others were ordered to close the same gap.
        """
        listed = self.replicas.replicas
        self._pending = {
            name: pending
            for name, pending in self._pending.items()
            if name in listed
        }
        now = self.clock.monotonic()
        late = [
            listed[name]
            for name, pending in self._pending.items()
            if pending.until < now
            and not pending.busy
            and listed[name].layers != pending.layers
        ]
        await asyncio.gather(*map(self._review_one, late))

    async def _review_one(self, replica: Replica) -> None:
        report = await self.orders.read_report(replica)
        pending = self._pending.get(replica.name)
        if pending is not None and report is not None and report.busy:
            until = self.clock.monotonic() + BUSY_SECONDS
            self._pending[replica.name] = replace(pending, until=until)

    def _plan(self) -> list[Move]:
        """Plan the orders that are due now."""
        table = self.configuration.table
        now = self.clock.monotonic()
        self._note_members(now)
        if table is None or not self._is_settled(now):
            return []
        models = [
            (terms.name, terms.model)
            for terms in table.configuration.services.values()
            if terms.model is not None
        ]
        alive = {
            name: [
                self._foresee(replica, now)
                for replica in self.replicas.list_alive(name)
            ]
            for name, _ in models
        }
        if (models, alive) == self._planned and not self._pending:
            return []
        self._note_gap(
            now,
            any(misses_layers(alive[name], model) for name, model in models),
        )
        moves = [
            move
            for name, model in models
            for move in self._plan_service(alive[name], model, now)
        ]
        self._note_need(now, bool(moves))
        # Where nothing is missing the plan stays as it is until a replica
        # changes. Made anew at each tick, plans took more than half of a
        # node's processor time on a calm day: 0.083 of a core, 0.037 without.
        settled = not moves and self._gap_since is None
        self._planned = (models, alive) if settled else None
        return moves

    def _note_gap(self, now: float, missing: bool) -> None:
        if not missing:
            self._gap_since = None
        elif self._gap_since is None:
            self._gap_since = now

    def _note_need(self, now: float, needed: bool) -> None:
        if not needed:
            self._need_since = None
        elif self._need_since is None:
            self._need_since = now

    def _plan_service(
        self,
        alive: list[Replica],
        model: ModelProfile,
        now: float,
    ) -> tuple[Move, ...]:
        thorough = self._may_lay_out(now)
        moves = tuple(
            move
            for move in plan_moves(alive, model, thorough=thorough)
            if move.replica.name not in self._pending
        )
        if thorough and moves and self.lease.held:
            self._laid_out = now
        return moves

    def _is_settled(self, now: float) -> bool:
        """Whether the list of replicas has stopped growing."""
        count = len(self.replicas.replicas)
        if count > self._known:
            self._grown = now
        self._known = count
        held = any(one.layers for one in self.replicas.replicas.values())
        return held or (count > 0 and now - self._grown > SETTLE_SECONDS)

    def _may_lay_out(self, now: float) -> bool:
        """Whether a gap has lasted, and nothing else is under way."""
        lasted = now - self._gap_since if self._gap_since else 0
        return (
            lasted > PERSISTENT_SECONDS
            and now - self._members_since > STEADY_SECONDS
            and now - self._laid_out > LAYOUT_REST_SECONDS
            and not self._pending
        )

    def _note_members(self, now: float) -> None:
        members = frozenset(
            one.name
            for one in self.replicas.replicas.values()
            if not one.leaving
        )
        if members != self._members:
            self._members = members
            self._members_since = now

    def _foresee(self, replica: Replica, now: float) -> Replica:
        """Take what a replica was ordered to hold for held."""
        pending = self._pending.get(replica.name)
        if pending is None:
            return replica
        arrived = replica.layers == pending.layers and not pending.busy
        if arrived or pending.until < now:
            del self._pending[replica.name]
            return replica
        return replace(replica, layers=pending.layers)

    async def _order(self, move: Move) -> None:
        """Order a replica to hold layers, and note what became of it."""
        replica = move.replica
        result = await self._send(move)
        # Most often another node has given orders to this replica.
        conflict = result is OrderResult.CONFLICT
        if conflict and await self._learn_state(replica):
            result = await self._send(move)
        self._settle(move, result, self.clock.monotonic())

    def _settle(self, move: Move, result: OrderResult, now: float) -> None:
        """Act on what became of an order."""
        replica = move.replica
        steps: dict[OrderResult, Callable[[], None]] = {
            OrderResult.BEGUN: lambda: self._expect(move, now),
            OrderResult.HELD: lambda: self._expect(move, now),
            OrderResult.UNANSWERED: lambda: self._await_late(move, now),
            OrderResult.FENCED: lambda: self._step_back(now),
            OrderResult.CONFLICT: lambda: self._leave_alone(
                replica, now + BUSY_SECONDS
            ),
            OrderResult.MISSING: lambda: self.replicas.end(replica),
        }
        steps.get(
            result,
            lambda: self.replicas.suspect(replica, 'order refused', full=False),
        )()

    def _await_late(self, move: Move, now: float) -> None:
        """Take an order without an answer for under way, for a while."""
        until = now + UNANSWERED_SECONDS
        self._pending[move.replica.name] = _Pending(move.layers, until)

    def _step_back(self, now: float) -> None:
        """Leave the duty to a node that orders under a higher number.

        Going on would be refused again and again. The lease is followed from
        the store.
        """
        self.lease.give_up()
        self._need_since = now

    def _leave_alone(self, replica: Replica, until: float) -> None:
        """Plan nothing for a replica that is busy with an earlier order.

        Asked again at once it refuses again, at the price of an order each.
        """
        if replica.layers is not None:
            self._pending[replica.name] = _Pending(
                replica.layers, until, busy=True
            )

    async def _send(self, move: Move) -> OrderResult:
        fence = self.lease.fence
        if fence is None:
            # Another node took the lease since this one renewed it. Its
            # number is the higher one, and not this node's to use.
            return OrderResult.FENCED
        name = move.replica.name
        sequence = self._sequences.get(name, 0)
        result = await self.orders.place(
            move.replica, move.layers, fence, sequence
        )
        self._log_order(move, result, fence, sequence)
        if result is OrderResult.BEGUN:
            self._sequences[name] = sequence + 1
        return result

    def _expect(self, move: Move, now: float) -> None:
        table = self.configuration.table
        services = table.configuration.services if table else {}
        terms = services.get(move.replica.service)
        if terms is None or terms.model is None:
            return
        share = len(move.layers) / terms.model.layers
        until = now + share * terms.model.load_seconds + LOAD_MARGIN_SECONDS
        self._pending[move.replica.name] = _Pending(move.layers, until)

    async def _learn_state(self, replica: Replica) -> bool:
        """Learn a replica's sequence; tell whether it may be ordered now."""
        report = await self.orders.read_report(replica)
        if report is None:
            return False
        self._sequences[replica.name] = report.sequence
        return not report.busy

    def _log_order(
        self,
        move: Move,
        result: OrderResult,
        fence: int,
        sequence: int,
    ) -> None:
        kind = catalogue.ORDER_REFUSED
        if result in {OrderResult.BEGUN, OrderResult.HELD}:
            kind = catalogue.ORDER_SENT
        elif result is OrderResult.UNANSWERED:
            kind = catalogue.ORDER_UNANSWERED
        self.log.record(
            kind,
            replica=move.replica.name,
            layers=[move.layers.first, move.layers.end],
            result=result.value,
            fence=fence,
            sequence=sequence,
        )


def setup(app: App) -> None:
    """Add the service ``placement``."""
    startup = app.find('startup', RelayStartup)
    log = app.find('log', LineLog)
    duty = PlacementDuty(
        log=log,
        clock=app.clock,
        configuration=app.find('configuration', ConfigurationView),
        replicas=app.find('replicas', ReplicaView),
        orders=app.find('orders', Orders),
        lease=LeaseKeeper(
            log=log,
            clock=app.clock,
            store=app.find('leases', LeaseStore),
            spread=app.chance.uniform(0, TAKE_SPREAD_SECONDS),
            holder=f'{startup.name}/{uuid.uuid4().hex[:8]}',
        ),
    )
    app.hub.connect(ReplicasChanged, duty.wake)
    app.add(
        Service(
            'placement',
            duty,
            ('configuration', 'replicas'),
            start=duty.start,
            stop=duty.stop,
        )
    )
