"""A client whose requests crash replicas."""

import asyncio
import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from aiohttp import ClientSession

from fleet.running import KEY
from ryelatch_core.quarantine import digest_request
from soak.clients import Clients
from soak.world import CRASHING_BODY, CRASHING_PART, World
from standins.replica import ReplicaStandIn, Run

CRASHING_KINDS = ('plan', 'ping')

_PAUSE_SECONDS = (0.3, 1.2)
_RESTART_SECONDS = 1.5
"""Time from the crash of a replica to the start of its replacement."""

_EXPIRY_SECONDS = 1.0
"""Time from that start to the removal of the crashed replica's entry."""

_RECOVERY_TRIES = 8


def compute_digest(kind: str, body: bytes = CRASHING_BODY) -> str:
    """Compute the digest under which nodes quarantine a request."""
    account = KEY.removesuffix('-key')
    return digest_request('city.example', 'POST', f'/{kind}/x', account, body)


def crashes_replicas(run: Run) -> bool:
    """Whether a request crashes the replicas that run it."""
    parts = run.headers.get('X-Ryelatch-Prefix-Hash', '')
    return run.body == CRASHING_BODY or f'{CRASHING_PART}:' in parts


@dataclass(eq=False)
class CrashingClient:
    """Sends such requests to random nodes, and replaces crashed replicas.

    :param by_part: whether the requests differ in all but a part of their
        prompts, or are copies of one request.
    """

    world: World
    clients: Clients
    random_source: random.Random
    by_part: bool = False
    _tasks: list['asyncio.Task[None]'] = field(default_factory=list)
    _replaced: set[str] = field(default_factory=set)
    _numbers: Iterator[int] = field(default_factory=itertools.count)

    def start(self) -> None:
        """Start to send the request and to replace crashed replicas."""
        self._tasks = [
            asyncio.create_task(self._send_repeatedly()),
            asyncio.create_task(self._replace_crashed()),
        ]

    async def resend(self) -> None:
        """Send the request some more times."""
        for _ in range(_RECOVERY_TRIES):
            await self._send_once()

    async def stop(self) -> None:
        """Stop sending and replacing."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send_repeatedly(self) -> None:
        while not self.world.recovered_at:
            await self._send_once()
            await asyncio.sleep(self.random_source.uniform(*_PAUSE_SECONDS))

    async def _send_once(self) -> None:
        node = self.random_source.choice(self.world.nodes)
        kind = self.random_source.choice(CRASHING_KINDS)
        body, part = CRASHING_BODY, ''
        if self.by_part:
            kind, part = 'plan', CRASHING_PART
            body = f'question {next(self._numbers)}'.encode()
            self.world.crashing_keys.add(compute_digest(kind, body))
        async with ClientSession() as http:
            await self.clients.send(http, node, kind, KEY, body, part)

    async def _replace_crashed(self) -> None:
        """Replace crashed replicas by new incarnations at other addresses."""
        while True:
            for replica in self.world.list_registered():
                if replica.crashed and replica.name not in self._replaced:
                    self._replaced.add(replica.name)
                    self._tasks.append(
                        asyncio.create_task(self._start_replacement(replica))
                    )
            await asyncio.sleep(0.1)

    async def _start_replacement(self, old: ReplicaStandIn) -> None:
        await asyncio.sleep(_RESTART_SECONDS)
        name = old.name.rsplit('-', 1)[0]
        new = ReplicaStandIn(
            name,
            old.service,
            accelerator=old.accelerator,
            layers=old.layers,
        )
        await self.world.add_replica(new)
        await asyncio.sleep(_EXPIRY_SECONDS)
        self.world.drop(old)
