"""Random returns of the store from older copies, in virtual time."""

import asyncio
import itertools
import random
from dataclasses import dataclass, field

import pytest

from fleet.running import make_configuration
from virtual.loop import run
from virtual.store import Trouble
from virtual.world import World

SEEDS = 200
_SEEDS_PER_TEST = 25
_NAMES = ('node-a', 'node-b', 'node-c')
_REVOKE_SECONDS = 5.0
_PLAY_SECONDS = 40.0
_SETTLE_SECONDS = 12.0
_CHECK_SECONDS = 0.05


@dataclass
class _Play:
    """A fleet, and the keys that its operator has handed out and revoked.

    :param restarts: whether nodes start again, too.
    :param revoked: when the store accepted that a key is revoked, by key.
    """

    source: random.Random
    restarts: bool = False
    world: World = field(default_factory=World)
    key: str = 'key-0'
    revoked: dict[str, float] = field(default_factory=dict)
    _versions: 'itertools.count[int]' = field(
        default_factory=lambda: itertools.count(7)
    )

    async def run(self) -> None:
        """Play random events, and check that each key is refused in time."""
        await self.world.start(_NAMES)
        self._configure()
        await asyncio.sleep(_SETTLE_SECONDS)
        loop = asyncio.get_running_loop()
        end = loop.time() + _PLAY_SECONDS
        events = [self._return, self._revoke, self._cut, self._replace]
        if self.restarts:
            events.append(self._restart)
        checking = asyncio.create_task(self._check(end + _SETTLE_SECONDS))
        while loop.time() < end:
            await asyncio.sleep(self.source.uniform(0.2, 4))
            await self.source.choice(events)()
        await checking
        for node in self.world.nodes.values():
            assert self._accepts(node.name, self.key)
            assert node.store.eras.current == self.world.store.era
            assert all(
                node.offers(name)
                for name in self.world.store.list_names('servers')
            )
        await self.world.stop()

    async def _check(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            now = loop.time()
            late = [
                (name, key, round(now - at, 2))
                for key, at in self.revoked.items()
                for name in _NAMES
                if now > at + _REVOKE_SECONDS and self._accepts(name, key)
            ]
            assert not late
            await asyncio.sleep(_CHECK_SECONDS)

    async def _return(self) -> None:
        """Come back from a copy, and sometimes from the next one soon."""
        for _ in range(self.source.choice((1, 1, 2))):
            self.world.store.go_away()
            await asyncio.sleep(self.source.uniform(0, 1.5))
            self.world.store.restore(
                self.source.uniform(1, 5), self.source.uniform(0.1, 1.5)
            )
            await asyncio.sleep(self.source.uniform(0, 3))

    async def _revoke(self) -> None:
        revoked, self.key = self.key, f'key-{next(self._versions)}'
        self._configure()
        self.revoked[revoked] = asyncio.get_running_loop().time()

    async def _cut(self) -> None:
        """Cut a node off from the store for a while."""
        name = self.source.choice(_NAMES)
        self.world.store.troubles[name] = self.source.choice(
            (Trouble.SILENT, Trouble.BUSY, Trouble.RESET)
        )
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.source.uniform(0.5, 8),
            self.world.store.troubles.pop,
            name,
            None,
        )

    async def _restart(self) -> None:
        """Start a node again, often as the store has just come back."""
        if self.source.choice((False, True)):
            await self._return()
        name = self.source.choice(_NAMES)
        await self.world.restart([name], counted=True)

    async def _replace(self) -> None:
        """Replace a replica by another one."""
        names = self.world.store.list_names('servers')
        self.world.register(f'b-{next(self._versions)}')
        self.world.deregister(self.source.choice(names))

    def _configure(self) -> None:
        accounts = [{'name': 'ward-1', 'apiKeys': [self.key]}]
        configuration = make_configuration(
            next(self._versions), tenants=accounts
        )
        self.world.store.put('config', 'main', configuration)

    def _accepts(self, name: str, key: str) -> bool:
        view = self.world.nodes[name].configuration
        if view.table is None:
            return False
        return view.allows_keys() and view.table.find_account(key) is not None


@pytest.mark.parametrize('restarts', [False, True])
@pytest.mark.parametrize('first', range(0, SEEDS, _SEEDS_PER_TEST))
def test_no_key_comes_back(first: int, restarts: bool) -> None:
    """A key is accepted later than it may be, or a node doesn't recover."""
    for seed in range(first, first + _SEEDS_PER_TEST):
        try:
            run(_Play(random.Random(seed), restarts).run())
        except AssertionError as error:
            raise AssertionError(f'seed {seed}: {error}') from error
