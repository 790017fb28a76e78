"""Finds out whether a replica that is blamed for a refusal is lost."""

import asyncio
from dataclasses import dataclass, field

from ryelatch_core.fleet import Replica
from ryelatch_node.ports import Report
from ryelatch_node.relay._parts import RelayContext
from ryelatch_node.tasks import Tasks

PROBE_SECONDS = 0.4
"""Longest wait for a report.

It needs no place and comes within two milliseconds; a VM of ours that is
slowed tenfold still has it in time.
"""

TRIES = 2
"""Reports that must fail before a replica is taken to be lost.

One that refuses connections fails both at once. One that is silent costs
twice the wait, but a single lost packet does not set off a repair.
"""

REST_SECONDS = 0.5
"""How long a replica that was asked is not asked again; probes are priced."""


@dataclass(eq=False)
class Prober:
    """Asks blamed replicas for a report.

    A path with a lost replica is refused with the same status as one with a
    full replica. Taken for full, a lost one is tried again every 300 ms until
    its entry lapses after 3.6 s, and its layers are loaded elsewhere only
    then. A report tells in milliseconds which it is.
    """

    context: RelayContext
    _asked: dict[str, float] = field(default_factory=dict)
    _tasks: Tasks = field(init=False)

    def __post_init__(self) -> None:
        """Make what runs the questions."""
        self._tasks = Tasks(self.context.log, 'probe')

    async def stop(self) -> None:
        """Ask no more."""
        await self._tasks.stop()

    def check(self, replica: Replica) -> None:
        """Ask a replica for a report, unless it was just asked.

        One that takes little or nothing now says so itself.
        """
        if self.context.throttle.is_throttled(replica.name):
            return
        now = self.context.clock.monotonic()
        if now - self._asked.get(replica.name, float('-inf')) < REST_SECONDS:
            return
        self._asked[replica.name] = now
        self._tasks.spawn(self._check(replica))

    async def _check(self, replica: Replica) -> None:
        for _ in range(TRIES):
            if await self._answers(replica):
                return
        self.context.replicas.suspect(replica, 'no report', full=False)

    async def _answers(self, replica: Replica) -> bool:
        try:
            async with asyncio.timeout(PROBE_SECONDS):
                report = await self.context.orders.read_report(replica)
        except TimeoutError:
            return False
        if report is None:
            return False
        self._learn(replica, report)
        return True

    def _learn(self, replica: Replica, report: Report) -> None:
        """Take what a replica holds from its own report.

        One that has started again under its entry refuses every path, and
        the entry tells that it is empty seconds later. While it carries out
        an order what it holds changes anyway.
        """
        if report.holding is not None and not report.busy:
            held = report.holding
            self.context.replicas.apply_report(replica, held.layers, held.born)
