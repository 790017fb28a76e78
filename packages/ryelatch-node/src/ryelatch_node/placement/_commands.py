"""Sends placement commands to replicas and tracks those in progress."""

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
"""Time added to the expected duration of a load before it counts as failed.

Loads are slower when more than six at a time share the store of weights.
"""

UNANSWERED_SECONDS = 1.0
"""How long a command without a reply is assumed to be in progress.

After that it is sent again with the same expected sequence number: once the
replica has executed either of the two, it refuses the other.
"""

BUSY_COOLDOWN_SECONDS = 2.0
"""Time without another command to a replica that is busy with an earlier one.

It is the duration of a typical answer: a replica drops layers once the answers
that use them are finished. With a command every second, the busy replicas of
one zone refused 177 commands in a day.
"""


@dataclass(frozen=True, slots=True)
class _Pending:
    """Layers that a replica was commanded to hold.

    :param until: when the command no longer counts as in progress, in
        monotonic seconds.
    :param busy: whether the replica refused because it is busy with an earlier
        command; ``layers`` are then those that it holds already.
    """

    layers: LayerRange
    until: float
    busy: bool = False


@dataclass(eq=False)
class CommandSender:
    """Sends commands under the lease and tracks those in progress."""

    log: LineLog
    clock: Clock
    configuration: ConfigurationView
    replicas: ReplicaView
    commands: ReplicaCommands
    lease: LeaseManager
    _pending: dict[str, _Pending] = field(default_factory=dict)
    _sequences: dict[str, int] = field(default_factory=dict)

    @property
    def pending_names(self) -> frozenset[str]:
        """Names of the replicas with a command in progress."""
        return frozenset(self._pending)

    async def check_overdue(self) -> None:
        """Check whether replicas with an overdue command are still busy.

        A replica that drops layers starts to load new ones only when the last
        answer that uses the old ones is finished. When it was assumed to be
        idle, it received the command again every two seconds, and other
        replicas were commanded to close the same gap.
        """
        listed = self.replicas.replicas
        self._pending = {
            name: pending
            for name, pending in self._pending.items()
            if name in listed
        }
        now = self.clock.monotonic()
        overdue = [
            listed[name]
            for name, pending in self._pending.items()
            if pending.until < now
            and not pending.busy
            and listed[name].layers != pending.layers
        ]
        await asyncio.gather(*map(self._check_busy, overdue))

    def apply_pending(self, replica: Replica, now: float) -> Replica:
        """Return a replica with the layers that it was commanded to hold."""
        pending = self._pending.get(replica.name)
        if pending is None:
            return replica
        arrived = replica.layers == pending.layers and not pending.busy
        if arrived or pending.until < now:
            del self._pending[replica.name]
            return replica
        return replace(replica, layers=pending.layers)

    async def send(self, move: Move) -> CommandResult:
        """Command a replica to hold layers, and record the result."""
        replica = move.replica
        result = await self._send_once(move)
        # Usually another node has sent commands to this replica since.
        conflict = result is CommandResult.CONFLICT
        if conflict and await self._refresh_sequence(replica):
            result = await self._send_once(move)
        self._handle_result(move, result, self.clock.monotonic())
        return result

    async def _check_busy(self, replica: Replica) -> None:
        report = await self.commands.read_report(replica)
        pending = self._pending.get(replica.name)
        if pending is not None and report is not None and report.busy:
            until = self.clock.monotonic() + BUSY_COOLDOWN_SECONDS
            self._pending[replica.name] = replace(pending, until=until)

    def _handle_result(
        self, move: Move, result: CommandResult, now: float
    ) -> None:
        """Update the state according to the result of a command."""
        replica = move.replica
        handlers: dict[CommandResult, Callable[[], None]] = {
            CommandResult.BEGUN: lambda: self._expect_load(move, now),
            CommandResult.HELD: lambda: self._expect_load(move, now),
            CommandResult.UNANSWERED: lambda: self._expect_unanswered(
                move, now
            ),
            # Further commands would be refused until this node takes the lease
            # again; changes of the lease come from the store.
            CommandResult.FENCED: self.lease.mark_fenced,
            CommandResult.CONFLICT: lambda: self._mark_busy(
                replica, now + BUSY_COOLDOWN_SECONDS
            ),
            CommandResult.MISSING: lambda: self.replicas.end(replica),
        }
        handlers.get(
            result,
            lambda: self.replicas.suspect(replica, 'order refused', full=False),
        )()

    def _expect_unanswered(self, move: Move, now: float) -> None:
        """Assume for a while that a command without a reply is in progress."""
        until = now + UNANSWERED_SECONDS
        self._pending[move.replica.name] = _Pending(move.layers, until)

    def _mark_busy(self, replica: Replica, until: float) -> None:
        """Send nothing for a while to a replica busy with an earlier command.

        It would refuse each further command, and each of them has a cost.
        """
        if replica.layers is not None:
            self._pending[replica.name] = _Pending(
                replica.layers, until, busy=True
            )

    async def _send_once(self, move: Move) -> CommandResult:
        fence = self.lease.fence
        if fence is None:
            # Another node has taken the lease since this one renewed it. Its
            # fencing number is higher, and this node must not use it.
            return CommandResult.FENCED
        name = move.replica.name
        sequence = self._sequences.get(name, 0)
        result = await self.commands.place(
            move.replica, move.layers, fence, sequence
        )
        self._log_command(move, result, fence, sequence)
        if result is CommandResult.BEGUN:
            self._sequences[name] = sequence + 1
        return result

    def _expect_load(self, move: Move, now: float) -> None:
        table = self.configuration.table
        services = table.configuration.services if table else {}
        service = services.get(move.replica.service)
        if service is None or service.model is None:
            return
        fraction = len(move.layers) / service.model.layers
        until = (
            now + fraction * service.model.load_seconds + LOAD_MARGIN_SECONDS
        )
        self._pending[move.replica.name] = _Pending(move.layers, until)

    async def _refresh_sequence(self, replica: Replica) -> bool:
        """Read a replica's sequence number; return whether it is idle."""
        report = await self.commands.read_report(replica)
        if report is None:
            return False
        self._sequences[replica.name] = report.sequence
        return not report.busy

    def _log_command(
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
