"""Checks whether a replica that is named in a refusal is lost."""

import asyncio
from dataclasses import dataclass, field

from ryelatch_core.events import catalogue
from ryelatch_core.fleet import Replica
from ryelatch_core.kernel import ran_late
from ryelatch_node.ports import Report
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.tasks import Tasks

REPORT_TIMEOUT_SECONDS = 0.4
"""Longest wait for a report.

A replica sends it even when it is full, within two milliseconds. A node on a
VM that is slowed tenfold still reads it in time.
"""

MAX_FAILED_REPORTS = 2
"""Failed report requests in a row after which a replica counts as lost.

Where connections are refused both fail at once. An unresponsive replica costs
twice the wait, but a single lost packet does not start a repair.
"""

MAX_ROUNDS = 5
"""Maximum reports requested in one check, if this process ran late in some."""

COOLDOWN_SECONDS = 0.5
"""Least time between two checks of a replica, as each report has a cost."""


@dataclass(eq=False)
class Prober:
    """Requests a report of each replica that is named in a refusal.

    A path with a lost replica is refused with the same status as a path with
    a full one. If a lost replica counted as full, it would be tried again
    every 300 ms until its entry expires after 3.6 s, and only then would its
    layers be loaded elsewhere. A report distinguishes them in milliseconds.
    """

    context: RelayContext
    _checked_at: dict[str, float] = field(default_factory=dict)
    _tasks: Tasks = field(init=False)

    def __post_init__(self) -> None:
        """Create the group of the running checks."""
        self._tasks = Tasks(self.context.log, 'probe')

    async def stop(self) -> None:
        """Cancel the running checks."""
        await self._tasks.stop()

    def check(self, replica: Replica) -> None:
        """Check a replica in the background, unless it is in cooldown.

        A throttled replica has announced that it takes few or no requests.
        """
        if self.context.throttle.is_throttled(replica.name):
            return
        now = self.context.clock.monotonic()
        if (
            now - self._checked_at.get(replica.name, float('-inf'))
            < COOLDOWN_SECONDS
        ):
            return
        self._checked_at[replica.name] = now
        self._tasks.spawn(self._check(replica))

    async def _check(self, replica: Replica) -> None:
        failed = 0
        for _ in range(MAX_ROUNDS):
            due = self.context.now() + REPORT_TIMEOUT_SECONDS
            if await self._sends_report(replica):
                return
            # A report that this process read late may have come in time.
            failed += not ran_late(due, self.context.now())
            if failed == MAX_FAILED_REPORTS:
                self.context.replicas.suspect(replica, 'no report', full=False)
                return
        self.context.log.record(catalogue.REPORT_DOUBTFUL, replica=replica.name)

    async def _sends_report(self, replica: Replica) -> bool:
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_SECONDS):
                report = await self.context.commands.read_report(replica)
        except TimeoutError:
            return False
        if report is None:
            return False
        self._apply_report(replica, report)
        return True

    def _apply_report(self, replica: Replica, report: Report) -> None:
        """Update this node's view with the layers that a replica reports.

        A replica that has restarted holds no layers and refuses every path,
        and its entry shows that only seconds later. A report made while a
        command is carried out is ignored, as the layers are about to change.
        """
        if report.loaded is not None and not report.busy:
            loaded = report.loaded
            self.context.replicas.apply_report(
                replica, loaded.layers, loaded.started_at
            )
