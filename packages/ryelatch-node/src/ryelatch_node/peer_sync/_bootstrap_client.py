"""Initial state from a peer, for a node that the store doesn't serve soon."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from ryelatch_core.eras import StoreRevision
from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.kernel import Clock
from ryelatch_core.membership import NodeEntry
from ryelatch_node.peer_sync._connection import (
    CONNECT_SECONDS,
    REQUEST_ERRORS,
    Dial,
    connect_to_peer,
)
from ryelatch_node.peer_sync._frames import (
    BootstrapMessage,
    BootstrapReply,
    ListReply,
    ListRequest,
    unpack,
)
from ryelatch_node.peer_sync._watch_cache import StoreUpdate

LIST_SECONDS = 0.7
"""Longest wait for all objects of a kind, which may be two megabytes."""


@dataclass(eq=False)
class BootstrapClient:
    """Lists objects from a peer, until this node has what it needs.

    The peer is the sender of a bootstrap message, or one that was offered.

    :param is_synced: whether this node has the state it needs to serve.
    :param accept_nodes: called with the list of nodes that a peer sent.
    :param accept_era: called with the era of a peer's list; returns whether it
        is the latest.
    :param peer_available: set while there is a peer to list objects from.
    """

    log: LineLog
    clock: Clock
    dial: Dial
    is_synced: Callable[[], bool]
    accept_nodes: Callable[[tuple[NodeEntry, ...]], None]
    accept_era: Callable[[int], bool] = lambda _: True
    peer_available: asyncio.Event = field(default_factory=asyncio.Event)
    _source: NodeEntry | None = None

    def handle_message(self, message: BootstrapMessage) -> BootstrapReply:
        """Use the sender as the source of state, if this node needs one."""
        nodes = {node.name: node for node in message.nodes}
        source = nodes.get(message.name)
        if source is not None and not self.is_synced():
            self._source = source
            self.accept_nodes(message.nodes)
            self.log.record(
                catalogue.GREETING_TAKEN, peer=source.name, nodes=len(nodes)
            )
            self.peer_available.set()
        return BootstrapReply(self.is_synced())

    def offer_source(self, peer: NodeEntry) -> None:
        """Use a peer as the source of state, unless this node has one."""
        if self._source is None and not self.is_synced():
            self._source = peer
            self.log.record(catalogue.SOURCE_CHOSEN, peer=peer.name)
            self.peer_available.set()

    async def request_list(self, object_kind: str) -> StoreUpdate | None:
        """Request all objects of a kind from the peer that is the source.

        :param object_kind: kind of object in the store.
        :returns: ``None`` if there is no source, or if the request fails or the
            peer has no complete list. After a failure, the next bootstrap
            message or offer selects the peer for further requests.
        """
        if self._source is None:
            return None
        return await self.request_list_from(self._source, object_kind)

    async def request_list_from(
        self, peer: NodeEntry, object_kind: str
    ) -> StoreUpdate | None:
        """Request all objects of a kind from a peer.

        :param object_kind: kind of object in the store.
        :returns: ``None`` if the request fails, or if the peer has no complete
            list of the latest era.
        """
        sent = self.clock.monotonic()
        try:
            async with asyncio.timeout(CONNECT_SECONDS + LIST_SECONDS):
                reply = await self._exchange(peer, ListRequest(object_kind))
            changes = unpack(reply.packed)
        except REQUEST_ERRORS as error:
            # REQUEST_ERRORS includes timeouts.
            self._abandon(peer, object_kind, type(error).__name__)
            return None
        if not reply.known:
            self._abandon(peer, object_kind, 'unknown')
            return None
        if not self.accept_era(reply.era):
            self._abandon(peer, object_kind, 'era')
            return None
        unanswered = (
            None if reply.unanswered is None else sent - reply.unanswered
        )
        at = StoreRevision(reply.era, reply.at)
        return StoreUpdate(at, sent - reply.age, changes, unanswered)

    async def _exchange(
        self,
        peer: NodeEntry,
        request: ListRequest,
    ) -> ListReply:
        connection = await connect_to_peer(self.dial, peer.address)
        try:
            body = await connection.send_request(request)
        finally:
            connection.drop()
        return msgspec.msgpack.decode(body, type=ListReply)

    def _abandon(self, peer: NodeEntry, object_kind: str, reason: str) -> None:
        self._source = None
        self.peer_available.clear()
        self.log.record(
            catalogue.WATCHER_LEFT,
            peer=peer.name,
            kind_of=object_kind,
            reason=reason,
        )
