"""Greets nodes that start while the store is out.

Such a node knows no peer, and the store that would name them is silent. Its
peers know where it was: each greets the node that comes after it by name, and
tells it which nodes there are and that it may be asked.
"""

import asyncio
import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.kernel import Clock
from ryelatch_core.membership import NodeEntry
from ryelatch_node.peer_sync._frames import Greeting, GreetingReply
from ryelatch_node.peer_sync._connection import (
    CONNECT_SECONDS,
    REQUEST_ERRORS,
    Dial,
    PeerConnection,
    connect_to_peer,
)

GREET_SECONDS = 0.2
"""How often this node looks whether there is one to greet."""

LOST_SECONDS = 5.0
"""How long a node that was lost is looked for, as it may start again."""

MOST_PASSED = 4
"""Nodes that are passed over as they can't be reached."""

_REPLY_SECONDS = 0.4


@dataclass(eq=False)
class Greeter:
    """Greets the next node that can be reached.

    It holds a connection to that one, which breaks as the node ends; where
    power was lost nothing tells, so all are asked while the store is out.

    :param me: name of this node.
    :param list_nodes: lists all nodes, this one included.
    :param knows: whether this node knows what others may need.
    :param is_out: whether the store is out.
    """

    log: LineLog
    me: str
    dial: Dial
    list_nodes: Callable[[], Sequence[NodeEntry]]
    knows: Callable[[], bool]
    is_out: Callable[[], bool]
    clock: Clock
    _line: PeerConnection | None = None
    _looks_until: float = 0

    async def run(self) -> None:
        """Greet whoever may have started."""
        try:
            while True:
                await asyncio.sleep(GREET_SECONDS)
                if self.knows() and self._may_be_missed():
                    await self._greet_next()
        finally:
            self._drop()

    def _may_be_missed(self) -> bool:
        """Whether a node may have started since the last greeting."""
        now = self.clock.monotonic()
        if self._line is not None and self._line.lost:
            self._looks_until = now + LOST_SECONDS
        return self.is_out() or self._line is None or now < self._looks_until

    async def _greet_next(self) -> None:
        following = list_following(self.me, self.list_nodes())
        for peer in itertools.islice(following, MOST_PASSED):
            if await self._greet(peer):
                return

    async def _greet(self, peer: NodeEntry) -> bool:
        """Greet a node.

        :returns: whether it answered.
        """
        try:
            async with asyncio.timeout(CONNECT_SECONDS + _REPLY_SECONDS):
                line = await self._open(peer)
                if await self._tell(line, Greeting(self.me)):
                    return True
                await self._tell(
                    line, Greeting(self.me, tuple(self.list_nodes()))
                )
        except REQUEST_ERRORS:
            # Timeouts are among them. It may be down, and the next one isn't.
            self._drop()
            return False
        self.log.record(catalogue.NODE_GREETED, peer=peer.name)
        return True

    async def _open(self, peer: NodeEntry) -> PeerConnection:
        line = self._line
        if line is None or line.lost or line.address != peer.address:
            self._drop()
            line = await connect_to_peer(self.dial, peer.address)
            self._line = line
        return line

    async def _tell(self, line: PeerConnection, greeting: Greeting) -> bool:
        """Tell a node who greets.

        :returns: whether it knows what it needs.
        """
        reply = await line.ask(greeting)
        return msgspec.msgpack.decode(reply, type=GreetingReply).knows

    def _drop(self) -> None:
        if self._line is not None:
            self._line.drop()
            self._line = None


def list_following(me: str, nodes: Sequence[NodeEntry]) -> list[NodeEntry]:
    """List the nodes in the order of names, from the one after this node."""
    return sorted(
        (one for one in nodes if one.address and one.name != me),
        key=lambda one: (one.name <= me, one.name),
    )
