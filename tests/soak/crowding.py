"""Clients that don't behave, beside the ordinary ones of a soak."""

import contextlib
import sys
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass, field

from fleet.processes import Process, spawn
from soak.clients import Clients
from soak.world import Node, World

CLIENTS_PER_NODE = 20
MAX_MEMORY_KB = 300_000
"""Memory of a node on its VM."""

_KEY = 'crowd-key'
"""Key of no client account, so that no replica gets their requests."""


@dataclass(eq=False)
class Crowds:
    """A crowd for each node, connected to it itself."""

    world: World
    seed: int
    _running: list[Process] = field(default_factory=list)

    async def start(self) -> None:
        """Start the crowds."""
        for number, node in enumerate(self.world.nodes):
            seed = self.seed * len(self.world.nodes) + number
            crowd = await spawn(f'crowd-{number}', _make_command(node, seed))
            self._running.append(crowd)

    async def stop(self) -> None:
        """End the crowds."""
        for crowd in self._running:
            await crowd.kill()
        self._running.clear()


@contextlib.asynccontextmanager
async def open_crowds(world: World, seed: int | None) -> AsyncIterator[Crowds]:
    """Run crowds, which are ended with the block at the latest.

    :param seed: for what they do; ``None`` to start none.
    """
    crowds = Crowds(world, seed or 0)
    try:
        if seed is not None:
            await crowds.start()
        yield crowds
    finally:
        await crowds.stop()


def _make_command(node: Node, seed: int) -> list[str]:
    options = {
        '--kind': 'mixed',
        '--clients': str(CLIENTS_PER_NODE),
        '--host': node.host,
        '--port': '8227',
        '--seed': str(seed),
        '--key': _KEY,
    }
    pairs = [text for pair in options.items() for text in pair]
    return [sys.executable, '-m', 'standins.crowd', *pairs]


def check_memory(world: World, clients: Clients) -> Iterator[str]:
    """No node takes more memory than its VM has."""
    for node in world.nodes:
        peak = node.read_peak()
        if peak > MAX_MEMORY_KB:
            yield f'{node.name} had {peak} kB of memory'
