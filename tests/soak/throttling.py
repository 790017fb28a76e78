"""Replicas that announce rate limits and backoffs in their answers."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from aiohttp import ClientSession

from fleet.running import KEY
from soak.clients import Clients
from soak.world import World
from standins.replica import ReplicaStandIn

LIMIT_PER_SECOND = 2.0
WINDOW_SECONDS = 4.0
LIMIT_NOTICE_SECONDS = 0.5

_OVERLOAD_SECONDS = 8.0
_PAUSE_SECONDS = 0.03
_EPISODE_SECONDS = (0.5, 2.0)

_Episode = Callable[[ReplicaStandIn], Awaitable[None]]


@dataclass(eq=False)
class ThrottledReplicas:
    """Makes replicas announce limits and ask for backoff during the faults."""

    world: World
    clients: Clients
    random_source: random.Random
    _tasks: list['asyncio.Task[None]'] = field(default_factory=list)

    def start(self) -> None:
        """Start changing limits and backoffs of random replicas."""
        self._tasks = [
            asyncio.create_task(self._repeat(episode))
            for episode in (self._limit, self._back_off)
        ]

    async def overload(self) -> None:
        """Send more to a limited replica than its limit, after the recovery."""
        loop = asyncio.get_running_loop()
        replica = self.random_source.choice(self._list_non_model())
        replica.extra_headers = {'Server-Limit': f'{LIMIT_PER_SECOND}'}
        self.world.limited_replica = (replica.name, loop.time())
        async with ClientSession() as http, asyncio.TaskGroup() as group:
            deadline = loop.time() + _OVERLOAD_SECONDS
            while loop.time() < deadline:
                node = self.random_source.choice(self.world.nodes)
                group.create_task(self.clients.send(http, node, 'ping', KEY))
                await asyncio.sleep(_PAUSE_SECONDS)
        replica.extra_headers = {}

    async def stop(self) -> None:
        """Stop the changes, and clear the headers of all replicas."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for replica in self.world.replicas:
            replica.extra_headers = {}

    def _list_non_model(self) -> list[ReplicaStandIn]:
        registered = self.world.list_registered()
        return [replica for replica in registered if not replica.accelerator]

    async def _repeat(self, episode: _Episode) -> None:
        while True:
            replica = self.random_source.choice(self.world.list_registered())
            await episode(replica)

    async def _limit(self, replica: ReplicaStandIn) -> None:
        replica.extra_headers = {
            'Server-Limit': f'{self.random_source.uniform(0, 9):.2f}'
        }
        await asyncio.sleep(self.random_source.uniform(*_EPISODE_SECONDS))
        replica.extra_headers = {}

    async def _back_off(self, replica: ReplicaStandIn) -> None:
        replica.extra_headers = {
            'Retry-After': f'{self.random_source.uniform(0, 3):.2f}'
        }
        replica.refuse = 503
        try:
            await asyncio.sleep(self.random_source.uniform(*_EPISODE_SECONDS))
        finally:
            # Also on cancellation; the replica would refuse for ever.
            replica.refuse = 0
        replica.extra_headers = {}
