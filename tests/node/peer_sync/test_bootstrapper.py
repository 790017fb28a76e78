"""Which nodes a node introduces itself to in an outage, and when."""

import asyncio
from typing import Any

from ryelatch_core.events import LineLog
from ryelatch_core.membership import NodeEntry
from ryelatch_node.peer_sync._frames import BootstrapReply, encode
from ryelatch_node.peer_sync._bootstrapper import RESTART_SECONDS, Bootstrapper
from virtual.links import open_pair
from virtual.loop import VirtualClock, run

_NODES = tuple(
    NodeEntry(name, 'zone-a', f'{name}:1') for name in ('a', 'b', 'c')
)
_SETTLED = 1.0


class _Peers:
    """The peers of a node, each up or down.

    :param calls: names of the peers that a connection was opened to.
    """

    def __init__(self) -> None:
        self.out = False
        self.down: set[str] = set()
        self.calls: list[str] = []
        self._ends: dict[str, Any] = {}
        self._served: list[asyncio.Task[None]] = []
        clock = VirtualClock()
        self.bootstrapper = Bootstrapper(
            LineLog('a', clock, len),
            'a',
            self._dial,
            lambda: _NODES,
            lambda: True,
            lambda: self.out,
            clock,
        )

    def end(self, name: str) -> None:
        """Terminate a peer; its connections break."""
        self.down.add(name)
        self._ends.pop(name).transport.abort()

    async def _dial(self, host: str, port: int) -> Any:
        self.calls.append(host)
        if host in self.down:
            raise ConnectionRefusedError
        near, far = open_pair(lambda: True)
        self._ends[host] = near[1]
        self._served.append(asyncio.create_task(_reply(*far)))
        return near


async def _reply(reader: asyncio.StreamReader, writer: Any) -> None:
    while await reader.read(1):
        if not reader._buffer:  # type: ignore[attr-defined]
            writer.write(encode(BootstrapReply(knows=True)))


def _play(steps: Any) -> None:
    async def main() -> None:
        peers = _Peers()
        running = asyncio.create_task(peers.bootstrapper.run())
        await asyncio.sleep(_SETTLED)
        await steps(peers)
        running.cancel()

    run(main())


def test_calm_costs_one_connection() -> None:
    """All nodes are up, so repeated contacts would be useless load."""

    async def steps(peers: _Peers) -> None:
        await asyncio.sleep(100)
        assert peers.calls == ['b']

    _play(steps)


def test_lost_node_is_looked_for_as_it_starts() -> None:
    """The next node is killed and restarts within a second."""

    async def steps(peers: _Peers) -> None:
        peers.end('b')
        await asyncio.sleep(_SETTLED)
        assert peers.calls[-1] == 'c'
        peers.down.clear()
        await asyncio.sleep(_SETTLED)
        assert peers.calls[-1] == 'b'

    _play(steps)


def test_removed_node_is_looked_for_no_longer() -> None:
    """The next node's VM is removed; the connection goes to the one after."""

    async def steps(peers: _Peers) -> None:
        peers.end('b')
        await asyncio.sleep(RESTART_SECONDS + _SETTLED)
        calls = len(peers.calls)
        await asyncio.sleep(100)
        assert len(peers.calls) == calls

    _play(steps)
