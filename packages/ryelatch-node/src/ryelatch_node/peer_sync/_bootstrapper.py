"""Introduces nodes that start during a store outage to their peers.

Such a node has no peers, as it can't read their list from the store. The
running nodes still have its address: each contacts the node that follows it in
the order of names, sends it the list of nodes and offers to answer its
requests.
"""

import asyncio
import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.kernel import Clock
from ryelatch_core.membership import NodeEntry
from ryelatch_node.peer_sync._connection import (
    CONNECT_SECONDS,
    REQUEST_ERRORS,
    Dial,
    PeerConnection,
    connect_to_peer,
)
from ryelatch_node.peer_sync._frames import BootstrapMessage, BootstrapReply

BOOTSTRAP_INTERVAL_SECONDS = 0.2
"""Interval of checks whether a node may have started."""

RESTART_SECONDS = 5.0
"""How long to keep contacting a lost node, as it may restart."""

MAX_TRIED_NODES = 4
"""Number of nodes tried in one round while none of them can be reached."""

_REPLY_SECONDS = 0.4


@dataclass(eq=False)
class Bootstrapper:
    """Contacts the next node that can be reached, in the order of names.

    It keeps a connection to that node. The connection breaks when the node's
    process terminates, after which it may restart. Because a loss of power
    doesn't break the connection, the node is also contacted at regular
    intervals while the store is unavailable.

    :param local_name: name of this node.
    :param list_nodes: lists all nodes, this one included.
    :param is_synced: whether this node has the state that others may need.
    :param is_store_out: whether the store is unavailable to this node.
    """

    log: LineLog
    local_name: str
    dial: Dial
    list_nodes: Callable[[], Sequence[NodeEntry]]
    is_synced: Callable[[], bool]
    is_store_out: Callable[[], bool]
    clock: Clock
    _connection: PeerConnection | None = None
    _search_until: float = 0

    async def run(self) -> None:
        """Contact the next node whenever it may have started."""
        try:
            while True:
                await asyncio.sleep(BOOTSTRAP_INTERVAL_SECONDS)
                if self.is_synced() and self._is_due():
                    await self._contact_successor()
        finally:
            self._drop()

    def _is_due(self) -> bool:
        """Whether a node may have started since the last contact."""
        now = self.clock.monotonic()
        if self._connection is not None and self._connection.lost:
            self._search_until = now + RESTART_SECONDS
        return (
            self.is_store_out()
            or self._connection is None
            or now < self._search_until
        )

    async def _contact_successor(self) -> None:
        successors = list_successors(self.local_name, self.list_nodes())
        for peer in itertools.islice(successors, MAX_TRIED_NODES):
            if await self._contact(peer):
                return

    async def _contact(self, peer: NodeEntry) -> bool:
        """Contact a node, and send it the list of nodes if it needs it.

        :returns: whether it replied.
        """
        try:
            async with asyncio.timeout(CONNECT_SECONDS + _REPLY_SECONDS):
                connection = await self._open(peer)
                if await self._send(
                    connection, BootstrapMessage(self.local_name)
                ):
                    return True
                await self._send(
                    connection,
                    BootstrapMessage(self.local_name, tuple(self.list_nodes())),
                )
        except REQUEST_ERRORS:
            # REQUEST_ERRORS includes timeouts. This node may be down, and the
            # next one may be running.
            self._drop()
            return False
        self.log.record(catalogue.NODE_GREETED, peer=peer.name)
        return True

    async def _open(self, peer: NodeEntry) -> PeerConnection:
        connection = self._connection
        if (
            connection is None
            or connection.lost
            or connection.address != peer.address
        ):
            self._drop()
            connection = await connect_to_peer(self.dial, peer.address)
            self._connection = connection
        return connection

    async def _send(
        self, connection: PeerConnection, message: BootstrapMessage
    ) -> bool:
        """Send a message to a node.

        :returns: whether the node has the state it needs to serve.
        """
        reply = await connection.send_request(message)
        return msgspec.msgpack.decode(reply, type=BootstrapReply).knows

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.drop()
            self._connection = None


def list_successors(
    local_name: str, nodes: Sequence[NodeEntry]
) -> list[NodeEntry]:
    """List the other nodes in cyclic order of names, starting after this one.

    :param local_name: name of this node.
    """
    return sorted(
        (node for node in nodes if node.address and node.name != local_name),
        key=lambda node: (node.name <= local_name, node.name),
    )
