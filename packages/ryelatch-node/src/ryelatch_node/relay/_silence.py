"""Finds out which replicas are lost on paths that stand still.

A replica in the middle of a path says nothing when it is lost; the first one
waits for it for seconds, and its report tells so half a second later. What
otherwise is reached within milliseconds, and now is not, is lost.
"""

import asyncio
import itertools
import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from ryelatch_core.fleet import Replica, Stage
from ryelatch_node.ports import Reach
from ryelatch_node.relay._parts import RelayContext
from ryelatch_node.tasks import Tasks

TRY_SECONDS = 0.03
"""Longest wait for a connection; in a region it takes 2 ms."""

SECOND_SECONDS = 0.012
"""When a second connection is tried beside a first one without an answer.

A single lost packet tells nothing.
"""

LATE_SECONDS = 0.01
"""Lateness of this process beyond which the tries are made again.

Answers that came in time would be read after their timeout.
"""

MOST_ROUNDS = 3
"""Rounds of tries for one pause, where this process was late in each."""

REST_SECONDS = 0.4
"""How long a replica that was tried is not tried again."""

ALARM_GROWTH = 1.4
"""By how much longer pauses must be after tries that found nothing lost."""

MOST_ALARM = 4.0
"""By how much longer at most: crowded paths pause all the time."""

ALARM_SECONDS = 3.0
"""Time in which that is forgotten to a third."""

_NEVER = float('-inf')


@dataclass(eq=False)
class PathChecks:
    """Tries to reach the replicas of paths that stand still."""

    context: RelayContext
    _tried: dict[str, float] = field(default_factory=dict)
    _reached: float = _NEVER
    _alarm: float = 1
    _alarmed: float = 0
    _tasks: Tasks = field(init=False)

    def __post_init__(self) -> None:
        """Make what runs the tries."""
        self._tasks = Tasks(self.context.log, 'path checks')

    async def stop(self) -> None:
        """Try no more."""
        await self._tasks.stop()

    @property
    def patience(self) -> float:
        """By how much longer than usual a pause must be, from 1 on."""
        passed = self.context.clock.monotonic() - self._alarmed
        return 1 + (self._alarm - 1) * math.exp(-passed / ALARM_SECONDS)

    def check(self, path: Iterable[Stage]) -> None:
        """Try to reach the replicas of a path that were not tried lately."""
        now = self.context.clock.monotonic()
        due = [
            stage.replica
            for stage in path
            if now - self._tried.get(stage.replica.name, _NEVER) > REST_SECONDS
        ]
        if not due:
            return
        self._tried = {
            name: tried
            for name, tried in self._tried.items()
            if now - tried <= REST_SECONDS
        }
        self._tried.update((one.name, now) for one in due)
        self._tasks.spawn(self._check(due))

    async def _check(self, replicas: list[Replica]) -> None:
        clock = self.context.clock
        for _ in itertools.repeat(None, MOST_ROUNDS):
            began = clock.monotonic()
            found = await asyncio.gather(*map(self._reach, replicas))
            if clock.monotonic() - began <= TRY_SECONDS + LATE_SECONDS:
                self._judge(replicas, found, began)
                return

    def _judge(
        self,
        replicas: list[Replica],
        found: list[Reach],
        began: float,
    ) -> None:
        """Keep away from the replicas that are lost."""
        now = self.context.clock.monotonic()
        if Reach.LISTENS in found:
            self._reached = now
        if all(reach is Reach.LISTENS for reach in found):
            self._alarm = min(MOST_ALARM, self.patience * ALARM_GROWTH)
            self._alarmed = now
        for replica, reach in zip(replicas, found, strict=True):
            if reach is Reach.REFUSED:
                self.context.replicas.suspect(replica, 'ended', full=False)
            elif reach is Reach.UNKNOWN and self._reached >= began:
                # Where nothing at all is reached, the way from here is cut.
                self.context.replicas.suspect(replica, 'silent', full=False)

    async def _reach(self, replica: Replica) -> Reach:
        """Try to reach a replica twice, the second time beside the first."""
        tries = [
            asyncio.create_task(self._try(replica, after))
            for after in (0, SECOND_SECONDS)
        ]
        try:
            for one in asyncio.as_completed(tries, timeout=TRY_SECONDS):
                reach = await one
                if reach is not Reach.UNKNOWN:
                    return reach
        except TimeoutError:
            return Reach.UNKNOWN
        finally:
            for task in tries:
                task.cancel()
        return Reach.UNKNOWN

    async def _try(self, replica: Replica, after: float) -> Reach:
        await asyncio.sleep(after)
        return await self.context.orders.reach(replica)
