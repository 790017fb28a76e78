"""Detects lost replicas on stalled paths by connecting to their addresses.

The loss of a replica in the middle of a path isn't reported to this node at
once: the first replica waits for the lost replica for seconds, and its report
shows the stall only after half a second. A connection normally takes a few
milliseconds, so a replica that doesn't accept one in that time is lost.
"""

import asyncio
import itertools
import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from ryelatch_core.fleet import Replica, Stage
from ryelatch_node.ports import Reachability
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.tasks import Tasks

CONNECT_SECONDS = 0.03
"""Timeout of a connection, which takes 2 ms within a region."""

SECOND_CONNECT_SECONDS = 0.012
"""Delay before a second connection is tried in parallel to the first one.

A single lost packet then doesn't make a replica look lost.
"""

MAX_LATENESS_SECONDS = 0.01
"""Lateness of this process beyond which a round of checks is repeated.

A late process reads responses after their timeout although they arrived in
time.
"""

MAX_ROUNDS = 3
"""Maximum rounds for one check, if this process was late in each of them."""

COOLDOWN_SECONDS = 0.4
"""Time after a check in which a replica is not checked again."""

THRESHOLD_GROWTH = 1.4
"""Factor on the pause threshold after a check that reached all replicas."""

MAX_THRESHOLD_FACTOR = 4.0
"""Maximum of the accumulated factor, as crowded paths pause all the time."""

THRESHOLD_DECAY_SECONDS = 3.0
"""Time in which the excess of the factor over 1 decays to about a third."""

_NEVER = float('-inf')


@dataclass(eq=False)
class PathChecks:
    """Checks whether the replicas of stalled paths accept connections."""

    context: RelayContext
    _last_tried: dict[str, float] = field(default_factory=dict)
    _last_reached: float = _NEVER
    _factor: float = 1
    _factor_set: float = 0
    _tasks: Tasks = field(init=False)

    def __post_init__(self) -> None:
        """Create the task group of the checks."""
        self._tasks = Tasks(self.context.log, 'path checks')

    async def stop(self) -> None:
        """Cancel the checks in progress."""
        await self._tasks.stop()

    @property
    def threshold_factor(self) -> float:
        """Factor on the pause after which a path is checked; at least 1."""
        elapsed = self.context.clock.monotonic() - self._factor_set
        return 1 + (self._factor - 1) * math.exp(
            -elapsed / THRESHOLD_DECAY_SECONDS
        )

    def check(self, path: Iterable[Stage]) -> None:
        """Check the replicas of a path that weren't checked recently."""
        now = self.context.clock.monotonic()
        due = [
            stage.replica
            for stage in path
            if now - self._last_tried.get(stage.replica.name, _NEVER)
            > COOLDOWN_SECONDS
        ]
        if not due:
            return
        self._last_tried = {
            name: tried
            for name, tried in self._last_tried.items()
            if now - tried <= COOLDOWN_SECONDS
        }
        self._last_tried.update((replica.name, now) for replica in due)
        self._tasks.spawn(self._check(due))

    async def _check(self, replicas: list[Replica]) -> None:
        clock = self.context.clock
        for _ in itertools.repeat(None, MAX_ROUNDS):
            started = clock.monotonic()
            results = await asyncio.gather(*map(self._reach, replicas))
            if (
                clock.monotonic() - started
                <= CONNECT_SECONDS + MAX_LATENESS_SECONDS
            ):
                self._evaluate(replicas, results, started)
                return

    def _evaluate(
        self,
        replicas: list[Replica],
        results: list[Reachability],
        started: float,
    ) -> None:
        """Suspect the replicas that are lost.

        :param results: results of the connections, in the replicas' order.
        :param started: when the round started, in monotonic seconds.
        """
        now = self.context.clock.monotonic()
        self._record_contacts(replicas, results)
        if Reachability.LISTENS in results:
            self._last_reached = now
        if all(result is Reachability.LISTENS for result in results):
            self._factor = min(
                MAX_THRESHOLD_FACTOR, self.threshold_factor * THRESHOLD_GROWTH
            )
            self._factor_set = now
        for replica, result in zip(replicas, results, strict=True):
            if result is Reachability.REFUSED:
                self.context.replicas.suspect(replica, 'ended', full=False)
            elif (
                result is Reachability.UNKNOWN and self._last_reached >= started
            ):
                # If no replica can be reached, this node is partitioned.
                self.context.replicas.suspect(replica, 'silent', full=False)

    def _record_contacts(
        self, replicas: list[Replica], results: list[Reachability]
    ) -> None:
        failed = []
        for replica, result in zip(replicas, results, strict=True):
            if result is Reachability.LISTENS:
                self.context.links.record_reached(replica.address)
            else:
                failed.append(replica)
        if len(failed) == len(replicas):
            self.context.links.record_silent_path(failed)
        else:
            self.context.links.record_failed(failed)

    async def _reach(self, replica: Replica) -> Reachability:
        """Connect to a replica twice in parallel, with a delayed second try.

        :returns: the first conclusive result of the two.
        """
        attempts = [
            asyncio.create_task(self._connect_after(replica, delay))
            for delay in (0, SECOND_CONNECT_SECONDS)
        ]
        try:
            for attempt in asyncio.as_completed(
                attempts, timeout=CONNECT_SECONDS
            ):
                result = await attempt
                if result is not Reachability.UNKNOWN:
                    return result
        except TimeoutError:
            return Reachability.UNKNOWN
        finally:
            for task in attempts:
                task.cancel()
        return Reachability.UNKNOWN

    async def _connect_after(
        self, replica: Replica, delay: float
    ) -> Reachability:
        await asyncio.sleep(delay)
        return await self.context.commands.reach(replica)
