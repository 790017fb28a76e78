"""Asks a peer how long the store has been unavailable to it."""

import asyncio

import msgspec

from ryelatch_core.eras import StoreRevision
from ryelatch_core.kernel import Clock
from ryelatch_core.membership import NEVER
from ryelatch_node.peer_sync._connection import (
    REQUEST_ERRORS,
    Dial,
    open_to_peer,
)
from ryelatch_node.peer_sync._frames import WatchReply, WatchRequest
from ryelatch_node.peer_sync._watch_cache import StoreHealth

REPLY_SECONDS = 0.3
"""Longest wait for the reply, which a peer sends at once."""


async def request_store_health(
    dial: Dial,
    clock: Clock,
    address: str,
    object_kind: str,
    since: StoreRevision,
) -> StoreHealth | None:
    """Ask a peer for the store's availability, as the peer observes it.

    :param address: ``host:port`` of the peer.
    :param object_kind: a kind that all nodes watch; the reply to a watch that
        doesn't wait includes what is asked for.
    :param since: revision that this node has, so that few changes are sent.
    :returns: ``None`` if the peer doesn't reply.
    """
    # As ``whole`` is set, the peer doesn't take this node for a follower.
    request = WatchRequest(
        object_kind, since.number, wait=0, whole=True, era=since.era
    )
    try:
        async with (
            asyncio.timeout(REPLY_SECONDS),
            open_to_peer(dial, address) as connection,
        ):
            body = await connection.send_request(request)
        reply = msgspec.msgpack.decode(body, type=WatchReply)
    except REQUEST_ERRORS:
        return None
    if reply.unanswered is None:
        return StoreHealth(NEVER, reply.out)
    return StoreHealth(clock.monotonic() - reply.unanswered, reply.out)
