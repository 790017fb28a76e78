"""A client whose request ends the replicas that run it, again and again."""

import asyncio
import random
from dataclasses import dataclass, field

from aiohttp import ClientSession

from fleet.running import KEY
from ryelatch_core.quarantine import digest_request
from soak.clients import Clients
from soak.world import CRASHING, World
from standins.replica import ReplicaStandIn

CRASHING_KINDS = ('plan', 'ping')

_PAUSE_SECONDS = (0.3, 1.2)
_BACK_SECONDS = 1.5
"""From the end of a replica to its next life."""

_LAPSE_SECONDS = 1.0
"""From that to the removal of the old entry."""

_CALM_TRIES = 8


def find_digest(kind: str) -> str:
    """Find how the nodes name the request."""
    account = KEY.removesuffix('-key')
    return digest_request(
        'city.example', 'POST', f'/{kind}/x', account, CRASHING
    )


@dataclass(eq=False)
class CrashingClient:
    """Sends the request to any node, and starts replicas that ended."""

    world: World
    clients: Clients
    chance: random.Random
    _tasks: list['asyncio.Task[None]'] = field(default_factory=list)
    _replaced: set[str] = field(default_factory=set)

    def start(self) -> None:
        """Begin to send, and to start replicas again."""
        self._tasks = [
            asyncio.create_task(self._send()),
            asyncio.create_task(self._replace()),
        ]

    async def go_on(self) -> None:
        """Come back some more times."""
        for _ in range(_CALM_TRIES):
            await self._try()

    async def stop(self) -> None:
        """Send no more."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send(self) -> None:
        while not self.world.calm:
            await self._try()
            await asyncio.sleep(self.chance.uniform(*_PAUSE_SECONDS))

    async def _try(self) -> None:
        node = self.chance.choice(self.world.nodes)
        kind = self.chance.choice(CRASHING_KINDS)
        async with ClientSession() as http:
            await self.clients.send(http, node, kind, KEY, CRASHING)

    async def _replace(self) -> None:
        """Start ended replicas again, as other lives at other addresses."""
        while True:
            for replica in self.world.list_present():
                if replica.crashed and replica.name not in self._replaced:
                    self._replaced.add(replica.name)
                    self._tasks.append(
                        asyncio.create_task(self._start_again(replica))
                    )
            await asyncio.sleep(0.1)

    async def _start_again(self, old: ReplicaStandIn) -> None:
        await asyncio.sleep(_BACK_SECONDS)
        name = old.name.rsplit('-', 1)[0]
        new = ReplicaStandIn(
            name,
            old.service,
            accelerator=old.accelerator,
            layers=old.layers,
        )
        await self.world.add_replica(new)
        await asyncio.sleep(_LAPSE_SECONDS)
        if old in self.world.list_present():
            self.world.store.drop('servers', old.name)
