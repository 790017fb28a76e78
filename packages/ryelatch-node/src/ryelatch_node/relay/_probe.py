"""Finds out whether a replica that is blamed for a refusal is lost."""

import asyncio
import traceback
from dataclasses import dataclass, field

from ryelatch_core.events import catalogue
from ryelatch_core.fleet import Replica
from ryelatch_core.kernel import cancel_task
from ryelatch_node.ports import Report
from ryelatch_node.relay._parts import Parts

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

    parts: Parts
    _asked: dict[str, float] = field(default_factory=dict)
    _tasks: set['asyncio.Task[None]'] = field(default_factory=set)

    async def stop(self) -> None:
        """Ask no more."""
        for task in tuple(self._tasks):
            await cancel_task(task)

    def check(self, replica: Replica) -> None:
        """Ask a replica for a report, unless it was just asked."""
        now = self.parts.clock.monotonic()
        if now - self._asked.get(replica.name, float('-inf')) < REST_SECONDS:
            return
        self._asked[replica.name] = now
        task = asyncio.create_task(self._check(replica))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check(self, replica: Replica) -> None:
        try:
            for _ in range(TRIES):
                if await self._answers(replica):
                    return
        except Exception:
            # Nobody awaits this task; the line is all that would tell.
            self.parts.log.record(
                catalogue.TASK_CRASHED,
                part='probe',
                trace=traceback.format_exc(),
            )
            return
        self.parts.replicas.suspect(replica, 'no report', full=False)

    async def _answers(self, replica: Replica) -> bool:
        try:
            async with asyncio.timeout(PROBE_SECONDS):
                report = await self.parts.orders.read_report(replica)
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
            self.parts.replicas.learn(replica, held.layers, held.born)
