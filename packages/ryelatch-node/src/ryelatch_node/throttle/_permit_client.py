"""Client for permits that other nodes grant."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field

import msgspec

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.kernel import Clock
from ryelatch_core.membership import NodeEntry
from ryelatch_node.peer_sync import (
    REQUEST_ERRORS,
    PeerBackoffs,
    PeerConnection,
    PeerSync,
    PermitReply,
    PermitRequest,
    connect_to_peer,
)

PERMIT_TIMEOUT_SECONDS = 0.1
"""Timeout of a permit request.

A client's request waits for it, and other replicas may be able to serve it.
"""


@dataclass(eq=False)
class PermitClient:
    """Requests permits, over one connection to each node that grants them."""

    log: LineLog
    clock: Clock
    peer_sync: PeerSync
    _connections: dict[str, PeerConnection] = field(default_factory=dict)
    _locks: dict[str, asyncio.Lock] = field(
        default_factory=lambda: defaultdict(asyncio.Lock)
    )
    _backoffs: PeerBackoffs = field(init=False)

    def __post_init__(self) -> None:
        """Create the backoffs of nodes that did not reply."""
        self._backoffs = PeerBackoffs(self.clock)

    def stop(self) -> None:
        """Close all connections."""
        for address in tuple(self._connections):
            self._drop(address)

    def is_cooling_down(self, limiter: NodeEntry) -> bool:
        """Whether a node is not asked for a while, as it did not reply."""
        return self._backoffs.is_active(limiter.address)

    async def request_permit(
        self,
        limiter: NodeEntry,
        request: PermitRequest,
    ) -> PermitReply | None:
        """Request a permit from a node.

        :returns: nothing if no reply came.
        """
        async with self._locks[limiter.address]:
            # An earlier request may have failed while this one was waiting.
            if self.is_cooling_down(limiter):
                return None
            try:
                return await self._exchange(limiter.address, request)
            except REQUEST_ERRORS as error:
                self._begin_cooldown(limiter, type(error).__name__)
                return None
            except asyncio.CancelledError:
                # A late reply would be read as the one to the next request.
                self._drop(limiter.address)
                raise

    async def _exchange(
        self,
        address: str,
        request: PermitRequest,
    ) -> PermitReply:
        async with asyncio.timeout(PERMIT_TIMEOUT_SECONDS):
            connection = self._connections.get(address)
            if connection is None:
                connection = await connect_to_peer(self.peer_sync.dial, address)
                self._connections[address] = connection
            body = await connection.send_request(request)
        reply = msgspec.msgpack.decode(body, type=PermitReply)
        self._backoffs.end(address)
        return reply

    def _begin_cooldown(self, limiter: NodeEntry, reason: str) -> None:
        self._drop(limiter.address)
        seconds = self._backoffs.begin(limiter.address)
        self.log.record(
            catalogue.LIMITER_LEFT,
            peer=limiter.name,
            reason=reason,
            seconds=seconds,
        )

    def _drop(self, address: str) -> None:
        connection = self._connections.pop(address, None)
        if connection is not None:
            connection.drop()
