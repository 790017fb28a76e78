"""Replicas that say in their answers how much they take."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from aiohttp import ClientSession

from fleet.running import KEY
from soak.clients import Clients
from soak.world import World
from standins.replica import ReplicaStandIn

LIMIT = 2.0
SPAN_SECONDS = 4.0
NOTICE_SECONDS = 0.5

_PRESS_SECONDS = 8.0
_PAUSE_SECONDS = 0.03
_SPELL_SECONDS = (0.5, 2.0)

_Spell = Callable[[ReplicaStandIn], Awaitable[None]]


@dataclass(eq=False)
class AskingReplicas:
    """Lets replicas name limits and ask for rest, amid the faults."""

    world: World
    clients: Clients
    chance: random.Random
    _tasks: list['asyncio.Task[None]'] = field(default_factory=list)

    def start(self) -> None:
        """Begin to let them ask."""
        self._tasks = [
            asyncio.create_task(self._ask(spell))
            for spell in (self._limit, self._rest)
        ]

    async def press(self) -> None:
        """Press on a replica in need, once the nodes are well."""
        loop = asyncio.get_running_loop()
        replica = self.chance.choice(self._list_plain())
        replica.extra_headers = {'Server-Limit': f'{LIMIT}'}
        self.world.limited = (replica.name, loop.time())
        async with ClientSession() as http, asyncio.TaskGroup() as group:
            ends = loop.time() + _PRESS_SECONDS
            while loop.time() < ends:
                node = self.chance.choice(self.world.nodes)
                group.create_task(self.clients.send(http, node, 'ping', KEY))
                await asyncio.sleep(_PAUSE_SECONDS)
        replica.extra_headers = {}

    async def stop(self) -> None:
        """Let them ask no more."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for replica in self.world.replicas:
            replica.extra_headers = {}

    def _list_plain(self) -> list[ReplicaStandIn]:
        present = self.world.list_present()
        return [one for one in present if not one.accelerator]

    async def _ask(self, spell: _Spell) -> None:
        while True:
            replica = self.chance.choice(self.world.list_present())
            await spell(replica)

    async def _limit(self, replica: ReplicaStandIn) -> None:
        replica.extra_headers = {'Server-Limit': f'{self.chance.uniform(0, 9):.2f}'}
        await asyncio.sleep(self.chance.uniform(*_SPELL_SECONDS))
        replica.extra_headers = {}

    async def _rest(self, replica: ReplicaStandIn) -> None:
        replica.extra_headers = {'Retry-After': f'{self.chance.uniform(0, 3):.2f}'}
        replica.refuse = 503
        try:
            await asyncio.sleep(self.chance.uniform(*_SPELL_SECONDS))
        finally:
            # Also where this is cancelled, or it would refuse for good.
            replica.refuse = 0
        replica.extra_headers = {}
