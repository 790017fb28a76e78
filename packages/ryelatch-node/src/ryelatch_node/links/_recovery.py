"""Finds out when lost links work again."""

import asyncio
from dataclasses import dataclass

from ryelatch_core.links import LinkGroup, ProbeResult
from ryelatch_core.membership import NEVER
from ryelatch_node.links._prober import LinkProber
from ryelatch_node.links._state import LinkState
from ryelatch_node.links._witnesses import Witnesses
from ryelatch_node.tasks import Tasks

REFRESH_SECONDS = 1.0
"""Interval at which other nodes are asked what they reach and have free."""


ASK_SECONDS = 0.3
"""Least time between two rounds of requests to other nodes.

Each request that finds no helper would begin one while all are full.
"""


@dataclass(eq=False)
class Recovery:
    """Probes the lost groups, and keeps what is known of helpers up to date."""

    state: LinkState
    prober: LinkProber
    witnesses: Witnesses
    tasks: Tasks
    _running: bool = False
    _asking: 'asyncio.Task[None] | None' = None
    _asked_at: float = NEVER

    def start(self) -> None:
        """Start to probe, unless the probes are running already."""
        if not self._running and self.state.lost.groups:
            self._running = True
            self.tasks.spawn(self._run())

    async def ask(self) -> None:
        """Ask other nodes what they reach, once for all who want to know.

        Does nothing if they were asked just now.
        """
        now = self.state.clock.monotonic()
        if self._asking is None and now < self._asked_at + ASK_SECONDS:
            return
        if self._asking is None:
            self._asking = asyncio.create_task(self._ask())
            self._asking.add_done_callback(self._end_asking)
        await asyncio.shield(self._asking)

    async def _run(self) -> None:
        """Probe the lost groups until all are regained."""
        self._asked_at = self.state.clock.monotonic()
        try:
            while self.state.lost.groups:
                await asyncio.sleep(self._compute_pause())
                now = self.state.clock.monotonic()
                due = self.state.lost.list_due(now)
                await asyncio.gather(*map(self._probe, due))
                self._refresh(now)
        finally:
            self._running = False

    def _compute_pause(self) -> float:
        """Compute the seconds until the next probe or request to helpers."""
        now = self.state.clock.monotonic()
        pause = self.state.lost.find_next_probe() - now
        return max(0, min(pause, REFRESH_SECONDS))

    def _refresh(self, now: float) -> None:
        if now - self._asked_at >= REFRESH_SECONDS:
            self.tasks.spawn(self.ask())

    async def _ask(self) -> None:
        self._asked_at = self.state.clock.monotonic()
        await self.witnesses.ask(self.state.lost.groups)

    def _end_asking(self, _: 'asyncio.Task[None]') -> None:
        self._asking = None

    async def _probe(self, group: LinkGroup) -> None:
        listed = self.state.list_group(group)
        found = await self.prober.probe(group, listed)
        self.state.record_probe(group, reached=found is ProbeResult.REACHED)
