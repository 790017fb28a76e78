"""Asks other nodes which replicas they reach, and keeps who does."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

import msgspec

from ryelatch_core.kernel import Clock
from ryelatch_core.links import LinkGroup, choose_witnesses
from ryelatch_core.membership import NodeEntry
from ryelatch_node.links._known_helpers import Helpers
from ryelatch_node.peer_sync import (
    REQUEST_ERRORS,
    PeerSync,
    ReachReply,
    ReachRequest,
)
from ryelatch_node.tasks import Tasks

REPLY_SECONDS = 0.25
"""Longest wait for a batch of nodes; one that has to probe takes 0.16 s."""

LATE_REPLY_SECONDS = 1.0
"""Time for which the reply of a node still counts.

Nodes that are short of processor time reply after those of the next batch.
"""

HandleReply: TypeAlias = Callable[[str, frozenset[LinkGroup]], None]
"""Handles the reply of a node: its name, and the groups that it reaches."""


def _ignore_reply(_name: str, _reached: frozenset[LinkGroup]) -> None:
    """Default handler of replies."""


@dataclass(eq=False)
class Witnesses:
    """Asks other nodes whether they reach groups of replicas.

    :param sample: returns random numbers from 0 to 1.
    :param helpers: is told what they reach.
    :param handle_reply: called with each reply, also after the request for it
        has returned.
    """

    clock: Clock
    peer_sync: PeerSync
    sample: Callable[[], float]
    tasks: Tasks
    helpers: Helpers
    handle_reply: HandleReply = _ignore_reply

    async def ask(self, groups: frozenset[LinkGroup]) -> dict[LinkGroup, str]:
        """Ask in batches until all groups are found to be reached.

        :returns: for each group that another node reaches, who does.
        """
        startup = self.peer_sync.startup
        confirmed: dict[LinkGroup, str] = {}
        batches = choose_witnesses(
            startup.name, startup.zone, self.peer_sync.nodes, self.sample
        )
        for batch in batches:
            await self._ask_batch(batch, groups, confirmed)
            if confirmed.keys() >= groups:
                break
        return confirmed

    async def _ask_batch(
        self,
        batch: list[NodeEntry],
        groups: frozenset[LinkGroup],
        confirmed: dict[LinkGroup, str],
    ) -> None:
        replies: asyncio.Queue[tuple[str, ReachReply | None]] = asyncio.Queue()
        for node in batch:
            self.tasks.spawn(self._ask_one(node, groups, replies))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REPLY_SECONDS):
                await _collect(replies, len(batch), groups, confirmed)

    async def _ask_one(
        self,
        node: NodeEntry,
        groups: frozenset[LinkGroup],
        replies: 'asyncio.Queue[tuple[str, ReachReply | None]]',
    ) -> None:
        reply = await self._request(node, ReachRequest(tuple(groups)))
        if reply is not None:
            reached = frozenset(LinkGroup(*group) for group in reply.reached)
            self.helpers.record(node, reached, reply.room)
            self.handle_reply(node.name, reached)
        replies.put_nowait((node.name, reply))

    async def _request(
        self, node: NodeEntry, request: ReachRequest
    ) -> ReachReply | None:
        """Send a request to a node.

        :returns: ``None`` if it doesn't reply.
        """
        try:
            async with asyncio.timeout(LATE_REPLY_SECONDS):
                body = await self._exchange(node.address, request)
            return msgspec.msgpack.decode(body, type=ReachReply)
        except REQUEST_ERRORS:
            return None

    async def _exchange(self, address: str, request: ReachRequest) -> bytes:
        """Send a request over a connection of its own; returns the reply."""
        connection = await self.peer_sync.connect_as_node(address)
        try:
            return await connection.send_request(request)
        finally:
            connection.drop()


def _add_confirmed(
    confirmed: dict[LinkGroup, str], name: str, reply: ReachReply | None
) -> None:
    for group in reply.reached if reply else ():
        confirmed.setdefault(LinkGroup(*group), name)


async def _collect(
    replies: 'asyncio.Queue[tuple[str, ReachReply | None]]',
    count: int,
    groups: frozenset[LinkGroup],
    confirmed: dict[LinkGroup, str],
) -> None:
    """Collect replies until all groups are confirmed, or none is left."""
    for _ in range(count):
        _add_confirmed(confirmed, *await replies.get())
        if confirmed.keys() >= groups:
            return
