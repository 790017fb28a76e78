"""Makes a node that was just registered known to the other nodes.

They count all nodes in long intervals, and serve some requests only to hosts of
nodes that they know.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass, field

import msgspec

from ryelatch_core.kernel import Clock
from ryelatch_core.membership import NodeEntry
from ryelatch_node.peer_sync._connection import (
    CONNECT_SECONDS,
    REQUEST_ERRORS,
    PeerConnection,
)
from ryelatch_node.peer_sync._frames import JoinReply, JoinRequest

JOIN_INTERVAL_SECONDS = 0.5
"""Interval at which nodes that don't know this one yet are asked again."""

JOIN_REPLY_SECONDS = 0.5
"""Longest wait for a reply; a node reads one entry from the store for it."""

JOIN_SECONDS = 30.0
"""Time for which nodes are asked, and for which a node that joined is kept.

It is longer than the interval at which nodes are counted, and a list of them
may be seconds old.
"""

MAX_ASKED_NODES = 64
"""Nodes that are asked. Further ones know this node after their next count."""

ConfirmNode = Callable[[str], Awaitable[NodeEntry | None]]
"""Reads the entry of a node by its name; ``None`` if it can't be read."""


async def _confirm_none(_: str) -> None:
    """Default function, which knows no entries."""


@dataclass(eq=False)
class Joining:
    """Asks other nodes to get to know this one, and gets to know others.

    :param connect: connects to the address of a node, from this one's host.
    :param list_nodes: lists the nodes that this one knows.
    :param add_node: called with each node that joined.
    :param confirm: reads the entry of a node that asks. Its word alone isn't
        enough: anyone may connect.
    """

    local_name: str
    clock: Clock
    connect: Callable[[str], Awaitable[PeerConnection]]
    list_nodes: Callable[[], Sequence[NodeEntry]]
    add_node: Callable[[NodeEntry], None]
    confirm: ConfirmNode = _confirm_none
    _joined: dict[str, tuple[float, NodeEntry]] = field(default_factory=dict)

    async def run(self) -> None:
        """Ask other nodes until they know this one."""
        until = self.clock.monotonic() + JOIN_SECONDS
        asked: set[str] = set()
        known: set[str] = set()
        while self.clock.monotonic() < until:
            asked |= set(self._list_addresses()[: MAX_ASKED_NODES - len(asked)])
            due = sorted(asked - known)
            replies = await asyncio.gather(*map(self._ask, due))
            known |= {
                address
                for address, knows in zip(due, replies, strict=True)
                if knows
            }
            await asyncio.sleep(JOIN_INTERVAL_SECONDS)

    async def handle_request(
        self, request: JoinRequest, host: str
    ) -> JoinReply:
        """Get to know a node whose entry names the host that it asks from."""
        if (request.name, host) in {
            (node.name, _get_host(node)) for node in self.list_nodes()
        }:
            return JoinReply(known=True)
        entry = await self.confirm(request.name)
        if entry is None or _get_host(entry) != host:
            return JoinReply(known=False)
        self._joined[entry.name] = (self.clock.monotonic(), entry)
        self.add_node(entry)
        return JoinReply(known=True)

    def complete(self, nodes: Iterable[NodeEntry]) -> tuple[NodeEntry, ...]:
        """Add the nodes that joined of late to a list that may lack them."""
        oldest = self.clock.monotonic() - JOIN_SECONDS
        self._joined = {
            name: (at, entry)
            for name, (at, entry) in self._joined.items()
            if at >= oldest
        }
        listed = {node.name: node for node in nodes}
        late = {name: entry for name, (_, entry) in self._joined.items()}
        return tuple({**late, **listed}.values())

    def _list_addresses(self) -> list[str]:
        return [
            node.address
            for node in self.list_nodes()
            if node.address and node.name != self.local_name
        ]

    async def _ask(self, address: str) -> bool:
        """Ask a node; returns whether it knows this one."""
        try:
            async with asyncio.timeout(JOIN_REPLY_SECONDS + CONNECT_SECONDS):
                return await self._exchange(address)
        except REQUEST_ERRORS:
            # The node is asked again, or counts this one later.
            return False

    async def _exchange(self, address: str) -> bool:
        connection = await self.connect(address)
        try:
            body = await connection.send_request(JoinRequest(self.local_name))
        finally:
            connection.drop()
        return msgspec.msgpack.decode(body, type=JoinReply).known


def _get_host(node: NodeEntry) -> str:
    return node.address.rpartition(':')[0]
