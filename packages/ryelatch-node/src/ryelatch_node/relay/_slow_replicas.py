"""Reads the step-time factors of replicas whose paths were late."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.fleet import Replica, Stage, StepFactorTracker
from ryelatch_core.kernel import Clock
from ryelatch_node.ports import ReplicaCommands
from ryelatch_node.tasks import Tasks

REPORT_TIMEOUT_SECONDS = 0.4
"""Longest wait for a report; a replica sends it even when it is full."""

COOLDOWN_SECONDS = 1.0
"""Least time between two report requests to a replica, as each has a cost."""


@dataclass(eq=False)
class SlowReplicaChecks:
    """Requests reports of replicas, and records their step-time factors.

    :param is_throttled: whether the replica of a name has a rate limit or is
        in backoff.
    :param tracker: the step-time factors of the replicas that are slow.
    """

    log: LineLog
    clock: Clock
    commands: ReplicaCommands
    is_throttled: Callable[[str], bool] = lambda _: False
    tracker: StepFactorTracker = field(default_factory=StepFactorTracker)
    _requested_at: dict[str, float] = field(default_factory=dict)
    _tasks: Tasks = field(init=False)

    def __post_init__(self) -> None:
        """Create the group of the running requests."""
        self._tasks = Tasks(self.log, 'paces')

    async def stop(self) -> None:
        """Cancel the running requests."""
        await self._tasks.stop()

    def check(self, path: Iterable[Stage]) -> None:
        """Request reports of the replicas of a path, except in cooldown."""
        now = self.clock.monotonic()
        due = [
            stage.replica
            for stage in path
            if not self._is_skipped(stage.replica.name, now)
        ]
        if not due:
            return
        self._requested_at = {
            name: requested
            for name, requested in self._requested_at.items()
            if now - requested <= COOLDOWN_SECONDS
        }
        self._requested_at.update((replica.name, now) for replica in due)
        self._tasks.spawn(self._check(due))

    def _is_skipped(self, name: str, now: float) -> bool:
        """Whether no report is requested of a replica now.

        A throttled replica has announced that it takes few or no requests.
        """
        requested = self._requested_at.get(name, float('-inf'))
        return now - requested <= COOLDOWN_SECONDS or self.is_throttled(name)

    async def _check(self, replicas: list[Replica]) -> None:
        await asyncio.gather(*map(self._read_report, replicas))

    async def _read_report(self, replica: Replica) -> None:
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_SECONDS):
                report = await self.commands.read_report(replica)
        except TimeoutError:
            return
        if report is None:
            return
        now = self.clock.monotonic()
        if self.tracker.record_factor(replica.name, report.step_factor, now):
            self.log.record(
                catalogue.REPLICA_SLOW,
                replica=replica.name,
                pace=report.step_factor,
            )
