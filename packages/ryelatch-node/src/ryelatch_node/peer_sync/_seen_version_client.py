"""Asks peers for the newest version that they have seen, of an object."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import TypeAlias

import msgspec

from ryelatch_core.eras import FIRST_ERA, REWRITE_SECONDS
from ryelatch_core.membership import NodeEntry
from ryelatch_node.peer_sync._bootstrapper import list_successors
from ryelatch_node.peer_sync._connection import (
    REQUEST_ERRORS,
    Dial,
    open_to_peer,
)
from ryelatch_node.peer_sync._frames import SeenVersionReply, SeenVersionRequest
from ryelatch_node.peer_sync._initial_source import COUNT_SECONDS

REPLY_SECONDS = 0.2
"""Longest wait for a reply, which peers send at once."""

LATE_REPLY_SECONDS = 0.05
"""Wait for the other replies once there is one."""

MAX_ASKED_NODES = 8
"""Nodes that are asked; any of them may have seen what the store has lost."""


_Asking: TypeAlias = 'asyncio.Task[SeenVersionReply | None]'


@dataclass(frozen=True, slots=True)
class SeenVersion:
    """How far the store can be relied on to have the newest version.

    :param unsettled: seconds for which it may lack the newest version.
    :param version: the newest version that was seen; 0 if there is none.
    """

    unsettled: float = 0.0
    version: int = 0


NO_SEEN_VERSION = SeenVersion()
"""What is known at a node that has seen nothing yet."""


@dataclass(eq=False)
class SeenVersionClient:
    """Asks peers for the newest version of an object that they have seen.

    :param local_name: name of this node.
    :param list_nodes: lists all nodes, this one included.
    :param nodes_known: set once this node has a list of nodes.
    :param accept_era: called with the era that a peer knows.
    :param counts_nodes: whether this node counts all nodes when it starts.
    """

    local_name: str
    dial: Dial
    list_nodes: Callable[[], Sequence[NodeEntry]]
    nodes_known: asyncio.Event
    accept_era: Callable[[int], bool]
    counts_nodes: bool = False

    async def request(self, object_kind: str) -> list[SeenVersionReply]:
        """Ask peers what they have seen.

        A node that has just started waits a moment for its list of nodes. Some
        peers may be lost, so once one has replied, the others get little more
        time.

        :param object_kind: kind of the object.
        """
        await self._wait_for_count()
        peers = list_successors(self.local_name, self.list_nodes())
        tasks = [
            asyncio.create_task(_ask(self.dial, peer, object_kind))
            for peer in peers[:MAX_ASKED_NODES]
        ]
        try:
            await _wait_for_replies(tasks)
        finally:
            for task in tasks:
                task.cancel()
        results = [task.result() for task in tasks if task.done()]
        replies = [reply for reply in results if reply is not None]
        for reply in replies:
            self.accept_era(reply.era)
        return replies

    async def _wait_for_count(self) -> None:
        """Wait a moment for the list of nodes, if the first count is due."""
        if self.counts_nodes and not self.list_nodes():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(COUNT_SECONDS):
                    await self.nodes_known.wait()


def combine_replies(
    replies: Iterable[SeenVersionReply], era: int
) -> SeenVersion:
    """Combine what peers have seen.

    :param era: era of the store of which this node has a list.
    """
    known = list(replies)
    return SeenVersion(
        max((_read_unsettled(reply, era) for reply in known), default=0.0),
        max((reply.version for reply in known), default=0),
    )


async def _wait_for_replies(tasks: Iterable[_Asking]) -> None:
    pending = set(tasks)
    has_reply = False
    while pending and not has_reply:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        has_reply = any(task.result() is not None for task in done)
    if pending:
        await asyncio.wait(pending, timeout=LATE_REPLY_SECONDS)


def _read_unsettled(reply: SeenVersionReply, era: int) -> float:
    """Read for how long the store may lack the newest version.

    The store has just come back from an older copy if the peer still knows an
    earlier era.
    """
    if FIRST_ERA < reply.era < era:
        return REWRITE_SECONDS
    return reply.unsettled


async def _ask(
    dial: Dial, peer: NodeEntry, object_kind: str
) -> SeenVersionReply | None:
    """Ask a peer; ``None`` if it doesn't reply."""
    request = SeenVersionRequest(object_kind)
    try:
        async with (
            asyncio.timeout(REPLY_SECONDS),
            open_to_peer(dial, peer.address) as connection,
        ):
            body = await connection.send_request(request)
        return msgspec.msgpack.decode(body, type=SeenVersionReply)
    except REQUEST_ERRORS:
        return None
