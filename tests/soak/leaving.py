"""Clients that leave early, and faults that make nodes late meanwhile."""

import asyncio
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from aiohttp import ClientSession

from fleet.running import KEY
from soak.clients import KINDS, Attempt, Clients
from soak.faults import (
    Fault,
    cut_nodes,
    disturb_replica,
    kill_node,
    pause_node,
    reload_node,
    replace_replica,
    stop_node,
)
from soak.world import World
from standins.replica import Run

LATE_SECONDS = 0.5
"""Time in which requests of clients that left may still reach replicas."""

MAX_LATE = 3
"""Requests that may reach them later, a few."""

_LEAVER_COUNT = 12
_STAY_SECONDS = (0.01, 0.6)

LEAVING_FAULTS: tuple[Fault, ...] = (
    pause_node,
    pause_node,
    pause_node,
    cut_nodes,
    cut_nodes,
    disturb_replica,
    replace_replica,
    kill_node,
    stop_node,
    reload_node,
)
"""Faults in which links don't delay the end of a client's connection."""


@dataclass(eq=False)
class Leavers:
    """Clients that send requests, and leave before most are answered.

    They are connected to the nodes themselves, so that the end of a connection
    arrives at once.
    """

    world: World
    clients: Clients
    random_source: random.Random
    _tasks: list['asyncio.Task[None]'] = field(default_factory=list)
    _stopping: bool = False

    def start(self) -> None:
        """Start sending."""
        self._tasks = [
            asyncio.create_task(self._send_repeatedly())
            for _ in range(_LEAVER_COUNT)
        ]

    async def stop(self) -> None:
        """Stop sending.

        A cancellation that meets the end of a request's time is lost in the
        HTTP client; the client that goes on then ends by the flag.
        """
        self._stopping = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send_repeatedly(self) -> None:
        source = self.random_source
        while not self._stopping:
            async with ClientSession() as http:
                await self.clients.send(
                    http,
                    source.choice(self.world.nodes),
                    source.choice(KINDS),
                    KEY,
                    stays=source.uniform(*_STAY_SECONDS),
                )


def check_leavers(world: World, clients: Clients) -> Iterator[str]:
    """Few requests reach replicas after their clients have left."""
    leavers = {
        attempt.identity: attempt
        for attempt in clients.attempts
        if attempt.leaver
    }
    late = [
        _describe(attempt, replica.name, run)
        for replica in world.replicas
        for run in replica.runs
        if (attempt := leavers.get(run.identity)) is not None
        and run.at > attempt.ended + LATE_SECONDS
    ]
    if len(late) > MAX_LATE:
        yield f'{len(late)} requests sent on after their clients left: {late}'


def _describe(attempt: Attempt, replica: str, run: Run) -> str:
    seconds = run.at - attempt.ended
    return f'{attempt.identity} at {attempt.node}, {replica}, {seconds:.2f} s'
