"""Orders to replicas, and what is known of those under way."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.fleet import LayerRange, Move, Replica
from ryelatch_core.kernel import Clock
from ryelatch_node.views import ConfigurationView, ReplicaView
from ryelatch_node.placement._lease import LeaseManager
from ryelatch_node.ports import CommandResult, ReplicaCommands

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


@dataclass(frozen=True, slots=True)
class _Pending:
    """Layers that a replica was ordered to hold."""

    layers: LayerRange
    until: float
    busy: bool = False


@dataclass(eq=False)
class OrderBook:
    """Gives orders under the lease, and keeps those that are under way."""

    log: LineLog
    clock: Clock
    configuration: ConfigurationView
    replicas: ReplicaView
    commands: ReplicaCommands
    lease: LeaseManager
    _pending: dict[str, _Pending] = field(default_factory=dict)
    _sequences: dict[str, int] = field(default_factory=dict)

    @property
    def open(self) -> frozenset[str]:
        """Names of the replicas with an order under way."""
        return frozenset(self._pending)

    async def review_late(self) -> None:
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

    def foresee(self, replica: Replica, now: float) -> Replica:
        """Take what a replica was ordered to hold for held."""
        pending = self._pending.get(replica.name)
        if pending is None:
            return replica
        arrived = replica.layers == pending.layers and not pending.busy
        if arrived or pending.until < now:
            del self._pending[replica.name]
            return replica
        return replace(replica, layers=pending.layers)

    async def give(self, move: Move) -> CommandResult:
        """Order a replica to hold layers, and note what became of it."""
        replica = move.replica
        result = await self._send(move)
        # Most often another node has given orders to this replica.
        conflict = result is CommandResult.CONFLICT
        if conflict and await self._learn_state(replica):
            result = await self._send(move)
        self._settle(move, result, self.clock.monotonic())
        return result

    async def _review_one(self, replica: Replica) -> None:
        report = await self.commands.read_report(replica)
        pending = self._pending.get(replica.name)
        if pending is not None and report is not None and report.busy:
            until = self.clock.monotonic() + BUSY_SECONDS
            self._pending[replica.name] = replace(pending, until=until)

    def _settle(self, move: Move, result: CommandResult, now: float) -> None:
        """Act on what became of an order."""
        replica = move.replica
        steps: dict[CommandResult, Callable[[], None]] = {
            CommandResult.BEGUN: lambda: self._expect(move, now),
            CommandResult.HELD: lambda: self._expect(move, now),
            CommandResult.UNANSWERED: lambda: self._await_late(move, now),
            # Going on would be refused again and again; the lease is followed
            # from the store.
            CommandResult.FENCED: self.lease.give_up,
            CommandResult.CONFLICT: lambda: self._leave_alone(
                replica, now + BUSY_SECONDS
            ),
            CommandResult.MISSING: lambda: self.replicas.end(replica),
        }
        steps.get(
            result,
            lambda: self.replicas.suspect(replica, 'order refused', full=False),
        )()

    def _await_late(self, move: Move, now: float) -> None:
        """Take an order without an answer for under way, for a while."""
        until = now + UNANSWERED_SECONDS
        self._pending[move.replica.name] = _Pending(move.layers, until)

    def _leave_alone(self, replica: Replica, until: float) -> None:
        """Plan nothing for a replica that is busy with an earlier order.

        Asked again at once it refuses again, at the price of an order each.
        """
        if replica.layers is not None:
            self._pending[replica.name] = _Pending(
                replica.layers, until, busy=True
            )

    async def _send(self, move: Move) -> CommandResult:
        fence = self.lease.fence
        if fence is None:
            # Another node took the lease since this one renewed it. Its
            # number is the higher one, and not this node's to use.
            return CommandResult.FENCED
        name = move.replica.name
        sequence = self._sequences.get(name, 0)
        result = await self.commands.place(
            move.replica, move.layers, fence, sequence
        )
        self._log_order(move, result, fence, sequence)
        if result is CommandResult.BEGUN:
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
        report = await self.commands.read_report(replica)
        if report is None:
            return False
        self._sequences[replica.name] = report.sequence
        return not report.busy

    def _log_order(
        self,
        move: Move,
        result: CommandResult,
        fence: int,
        sequence: int,
    ) -> None:
        kind = catalogue.ORDER_REFUSED
        if result in {CommandResult.BEGUN, CommandResult.HELD}:
            kind = catalogue.ORDER_SENT
        elif result is CommandResult.UNANSWERED:
            kind = catalogue.ORDER_UNANSWERED
        self.log.record(
            kind,
            replica=move.replica.name,
            layers=[move.layers.first, move.layers.end],
            result=result.value,
            fence=fence,
            sequence=sequence,
        )
