"""Asks the replicas of paths that were late how slow they are."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.fleet import StepFactorTracker, Replica, Stage
from ryelatch_core.kernel import Clock
from ryelatch_node.ports import Orders
from ryelatch_node.tasks import Tasks

REPORT_SECONDS = 0.4
"""Longest wait for a report; it needs no place."""

REST_SECONDS = 1.0
"""How long a replica that was asked is not asked again; reports are priced."""


@dataclass(eq=False)
class PaceChecks:
    """Reads reports, and notes what they say of a replica's pace.

    :param is_throttled: tells whether a replica takes little, by its name.
    """

    log: LineLog
    clock: Clock
    orders: Orders
    is_throttled: Callable[[str], bool] = lambda _: False
    book: StepFactorTracker = field(default_factory=StepFactorTracker)
    _asked: dict[str, float] = field(default_factory=dict)
    _tasks: Tasks = field(init=False)

    def __post_init__(self) -> None:
        """Make what runs the questions."""
        self._tasks = Tasks(self.log, 'paces')

    async def stop(self) -> None:
        """Ask no more."""
        await self._tasks.stop()

    def check(self, path: Iterable[Stage]) -> None:
        """Ask the replicas of a path that were not asked lately."""
        now = self.clock.monotonic()
        due = [
            stage.replica
            for stage in path
            if not self._rests(stage.replica.name, now)
        ]
        if not due:
            return
        self._asked = {
            name: asked
            for name, asked in self._asked.items()
            if now - asked <= REST_SECONDS
        }
        self._asked.update((one.name, now) for one in due)
        self._tasks.spawn(self._check(due))

    def _rests(self, name: str, now: float) -> bool:
        """Whether a replica is not to be asked now.

        One that takes little or nothing now says so itself.
        """
        asked = self._asked.get(name, float('-inf'))
        return now - asked <= REST_SECONDS or self.is_throttled(name)

    async def _check(self, replicas: list[Replica]) -> None:
        await asyncio.gather(*map(self._ask, replicas))

    async def _ask(self, replica: Replica) -> None:
        try:
            async with asyncio.timeout(REPORT_SECONDS):
                report = await self.orders.read_report(replica)
        except TimeoutError:
            return
        if report is None:
            return
        now = self.clock.monotonic()
        if self.book.note(replica.name, report.pace, now):
            self.log.record(
                catalogue.REPLICA_SLOW,
                replica=replica.name,
                pace=report.pace,
            )
