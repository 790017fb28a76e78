"""Whom a node greets, and when."""

import asyncio
from typing import Any

from ryelatch_core.events import LineLog
from ryelatch_core.membership import NodeEntry
from ryelatch_node.peer_sync._frames import GreetingReply, encode
from ryelatch_node.peer_sync._bootstrapper import LOST_SECONDS, Greeter
from virtual.links import open_pair
from virtual.loop import VirtualClock, run

_NODES = tuple(
    NodeEntry(name, 'zone-a', f'{name}:1') for name in ('a', 'b', 'c')
)
_SETTLED = 1.0


class _Peers:
    """The peers of a node, each up or down.

    :param calls: names of those that were connected to.
    """

    def __init__(self) -> None:
        self.out = False
        self.down: set[str] = set()
        self.calls: list[str] = []
        self._ends: dict[str, Any] = {}
        self._served: list[asyncio.Task[None]] = []
        clock = VirtualClock()
        self.greeter = Greeter(
            LineLog('a', clock, len),
            'a',
            self._dial,
            lambda: _NODES,
            lambda: True,
            lambda: self.out,
            clock,
        )

    def end(self, name: str) -> None:
        """End a peer; its connections break."""
        self.down.add(name)
        self._ends.pop(name).transport.abort()

    async def _dial(self, host: str, port: int) -> Any:
        self.calls.append(host)
        if host in self.down:
            raise ConnectionRefusedError
        near, far = open_pair(lambda: True)
        self._ends[host] = near[1]
        self._served.append(asyncio.create_task(_answer(*far)))
        return near


async def _answer(reader: asyncio.StreamReader, writer: Any) -> None:
    while await reader.read(1):
        if not reader._buffer:  # type: ignore[attr-defined]
            writer.write(encode(GreetingReply(knows=True)))


def _play(steps: Any) -> None:
    async def main() -> None:
        peers = _Peers()
        running = asyncio.create_task(peers.greeter.run())
        await asyncio.sleep(_SETTLED)
        await steps(peers)
        running.cancel()

    run(main())


def test_calm_costs_one_connection() -> None:
    """All nodes live; greetings would cost each of them for nothing."""

    async def steps(peers: _Peers) -> None:
        await asyncio.sleep(100)
        assert peers.calls == ['b']

    _play(steps)


def test_lost_node_is_looked_for_as_it_starts() -> None:
    """The next node is killed and back within a second."""

    async def steps(peers: _Peers) -> None:
        peers.end('b')
        await asyncio.sleep(_SETTLED)
        assert peers.calls[-1] == 'c'
        peers.down.clear()
        await asyncio.sleep(_SETTLED)
        assert peers.calls[-1] == 'b'

    _play(steps)


def test_removed_node_is_looked_for_no_longer() -> None:
    """The next node's VM is gone for good; the one after it is held."""

    async def steps(peers: _Peers) -> None:
        peers.end('b')
        await asyncio.sleep(LOST_SECONDS + _SETTLED)
        calls = len(peers.calls)
        await asyncio.sleep(100)
        assert len(peers.calls) == calls

    _play(steps)
