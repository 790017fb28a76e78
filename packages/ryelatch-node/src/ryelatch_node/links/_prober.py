"""Probes replicas by opening connections to them."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import repeat

from ryelatch_core.fleet import Replica
from ryelatch_core.kernel import Clock
from ryelatch_core.links import LinkGroup, ProbeResult, choose_probes
from ryelatch_core.membership import NEVER
from ryelatch_node.links._running_time import run_for
from ryelatch_node.ports import ReplicaCommands

PROBE_SECONDS = 0.08
"""Timeout of a probe: a connection takes 2 to 6 ms, and is held for 20.

Here and below, only time in which this process runs counts.
"""

HOLD_SECONDS = 0.02
"""Time for which a connection is held; a reset arrives within a round trip."""

SECOND_TRY_SECONDS = 0.03
"""Delay before a second connection is tried in parallel to the first one.

A single lost packet then doesn't make a replica look lost.
"""

FRESH_SECONDS = 0.25
"""Time for which a successful probe answers the requests of other nodes.

If most nodes of a large fleet have lost their links, each of the others is
asked up to a hundred times a second.
"""

MAX_ROUNDS = 3
"""Maximum rounds of a probe, if each ended while connections were held."""


@dataclass(eq=False)
class LinkProber:
    """Probes groups of replicas; concurrent probes of a group are one.

    :param sample: returns random numbers from 0 to 1.
    """

    clock: Clock
    commands: ReplicaCommands
    sample: Callable[[], float]
    _reached_at: dict[LinkGroup, float] = field(default_factory=dict)
    _running: dict[LinkGroup, 'asyncio.Task[ProbeResult]'] = field(
        default_factory=dict
    )

    async def stop(self) -> None:
        """Cancel the probes in progress."""
        running = tuple(self._running.values())
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    async def reaches(
        self, group: LinkGroup, replicas: Sequence[Replica]
    ) -> bool:
        """Whether a group was reached just now, or is reached by a probe.

        :param replicas: all of the group.
        """
        now = self.clock.monotonic()
        if now - self._reached_at.get(group, NEVER) < FRESH_SECONDS:
            return True
        found = await self.probe(group, replicas)
        if found is ProbeResult.REACHED:
            self._reached_at[group] = self.clock.monotonic()
        return found is ProbeResult.REACHED

    async def probe(
        self, group: LinkGroup, replicas: Sequence[Replica]
    ) -> ProbeResult:
        """Probe whether any replica of a group can be reached.

        :param replicas: all of the group.
        """
        task = self._running.get(group)
        if task is None:
            task = asyncio.create_task(self._probe(replicas))
            self._running[group] = task
            task.add_done_callback(lambda _: self._running.pop(group))
        # One that asks may be cancelled, the others still need the result.
        return await asyncio.shield(task)

    async def _probe(self, replicas: Sequence[Replica]) -> ProbeResult:
        for drawn in choose_probes(replicas, self.sample):
            result = await self._probe_any(drawn)
            if result is not ProbeResult.UNREACHED:
                return result
        return ProbeResult.UNREACHED

    async def _probe_any(self, replicas: list[Replica]) -> ProbeResult:
        for _ in repeat(None, MAX_ROUNDS):
            result = await self._probe_round(replicas)
            if result is not ProbeResult.UNKNOWN:
                return result
        return ProbeResult.UNKNOWN

    async def _probe_round(self, replicas: list[Replica]) -> ProbeResult:
        results = await asyncio.gather(*map(self._probe_one, replicas))
        if ProbeResult.REACHED in results:
            return ProbeResult.REACHED
        if ProbeResult.UNKNOWN in results:
            return ProbeResult.UNKNOWN
        return ProbeResult.UNREACHED

    async def _probe_one(self, replica: Replica) -> ProbeResult:
        held: set[float] = set()
        tries = [
            asyncio.create_task(self._connect_after(replica, delay, held))
            for delay in (0, SECOND_TRY_SECONDS)
        ]
        succeeding = asyncio.create_task(_find_success(tries))
        timeout = asyncio.create_task(run_for(PROBE_SECONDS))
        try:
            await asyncio.wait(
                (succeeding, timeout), return_when=asyncio.FIRST_COMPLETED
            )
            if succeeding.done() and await succeeding:
                return ProbeResult.REACHED
            return ProbeResult.UNKNOWN if held else ProbeResult.UNREACHED
        finally:
            for task in (*tries, succeeding, timeout):
                task.cancel()

    async def _connect_after(
        self, replica: Replica, delay: float, held: set[float]
    ) -> bool:
        """Open and hold a connection after a delay.

        :param held: contains the delay while the connection is held.
        """

        async def hold() -> None:
            held.add(delay)
            await run_for(HOLD_SECONDS)

        await asyncio.sleep(delay)
        is_open = await self.commands.hold_connection(replica, hold)
        held.discard(delay)
        return is_open


async def _find_success(tries: 'list[asyncio.Task[bool]]') -> bool:
    """Wait until one of several tries succeeds, or all have failed."""
    for attempt in asyncio.as_completed(tries):
        if await attempt:
            return True
    return False
