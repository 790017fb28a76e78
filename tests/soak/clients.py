"""Clients of a soak: they send, and note what they saw."""

import asyncio
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field

from aiohttp import ClientError, ClientSession, ClientTimeout

from fleet.running import KEY
from soak.world import SPARE_KEY, Node, World

CLIENTS = 8
_DEADLINE_MS = 4000
_REST_SECONDS = (0.0, 0.1)
_KINDS = ('plan', 'plan', 'ping', 'book')


@dataclass
class Attempt:
    """A request, and what its client saw of the answer.

    :param sent: when, by the loop's clock.
    :param status: 0 if no answer came.
    :param whole: whether the answer ended as it should.
    """

    identity: str
    kind: str
    key: str
    sent: float
    status: int = 0
    whole: bool = False
    signature: str = ''
    body: bytes = b''


@dataclass(eq=False)
class Clients:
    """All clients, and all that they tried."""

    world: World
    attempts: list[Attempt] = field(default_factory=list)
    _numbers: Iterator[int] = field(default_factory=itertools.count)

    async def run(self, until: asyncio.Event) -> None:
        """Send until told to stop."""
        async with asyncio.TaskGroup() as group:
            for _ in range(CLIENTS):
                group.create_task(self._run_one(until))

    async def ask_calmly(self, count: int) -> list[Attempt]:
        """Send some requests, one after the other, on new connections."""
        attempts = []
        for _ in range(count):
            async with ClientSession() as http:
                attempts.append(await self._ask(http, KEY))
        return attempts

    async def send(
        self,
        http: ClientSession,
        node: Node,
        kind: str,
        key: str,
        body: bytes = b'question',
    ) -> Attempt:
        """Send a request and read its answer."""
        loop = asyncio.get_running_loop()
        number = next(self._numbers)
        attempt = Attempt(f'r-{number}', kind, key, loop.time())
        self.attempts.append(attempt)
        headers = {
            'Host': 'city.example',
            'X-Ryelatch-Request-Id': attempt.identity,
            'X-Ryelatch-Deadline-Ms': str(_DEADLINE_MS),
            'X-Ryelatch-Token-Usage': '100,40',
            'Api-Key': key,
        }
        url = f'http://{node.front.address}/{kind}/x'
        timeout = ClientTimeout(total=_DEADLINE_MS / 1000)
        try:
            async with http.post(
                url, headers=headers, data=body, timeout=timeout
            ) as response:
                attempt.status = response.status
                attempt.signature = response.headers.get(
                    'X-Ryelatch-Replica-Signature', ''
                )
                async for piece in response.content.iter_any():
                    attempt.body += piece
                attempt.whole = True
        except (ClientError, OSError, TimeoutError):
            attempt.whole = False
        return attempt

    async def _run_one(self, until: asyncio.Event) -> None:
        chance = self.world.chance
        async with ClientSession() as http:
            while not until.is_set():
                await self._ask(http, chance.choice((KEY, KEY, SPARE_KEY)))
                await asyncio.sleep(chance.uniform(*_REST_SECONDS))

    async def _ask(self, http: ClientSession, key: str) -> Attempt:
        chance = self.world.chance
        node = chance.choice(self.world.nodes)
        kind = chance.choice(_KINDS)
        return await self.send(http, node, kind, key)
