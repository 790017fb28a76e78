"""What a node learns from a peer if it starts while the store is out."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.kernel import Clock
from ryelatch_core.membership import NodeEntry
from ryelatch_node.peer_sync._frames import (
    Greeting,
    GreetingReply,
    WholeQuestion,
    WholeReply,
    unpack,
)
from ryelatch_node.peer_sync._connection import (
    CONNECT_SECONDS,
    REQUEST_ERRORS,
    Dial,
    connect_to_peer,
)
from ryelatch_node.peer_sync._watch_cache import StoreUpdate

WHOLE_SECONDS = 0.7
"""How long all objects of a kind may take; they may be two megabytes."""


@dataclass(eq=False)
class BootstrapClient:
    """The peer that greeted this node, and may be asked for all it knows.

    :param knows: whether this node has learned what it needs to serve.
    :param learn: takes the nodes that a peer has named.
    :param peer_available: set while there is such a peer.
    """

    log: LineLog
    clock: Clock
    dial: Dial
    knows: Callable[[], bool]
    learn: Callable[[tuple[NodeEntry, ...]], None]
    peer_available: asyncio.Event = field(default_factory=asyncio.Event)
    _greeter: NodeEntry | None = None

    def take(self, greeting: Greeting) -> GreetingReply:
        """Take a greeting, if this node has use for it."""
        nodes = {one.name: one for one in greeting.nodes}
        greeter = nodes.get(greeting.name)
        if greeter is not None and not self.knows():
            self._greeter = greeter
            self.learn(greeting.nodes)
            self.log.record(
                catalogue.GREETING_TAKEN, peer=greeter.name, nodes=len(nodes)
            )
            self.peer_available.set()
        return GreetingReply(self.knows())

    async def request_list(self, kind: str) -> StoreUpdate | None:
        """Ask the peer that greeted this node for all objects of a kind.

        :returns: nothing if none did, or it is of no use; another may greet.
        """
        peer = self._greeter
        if peer is None:
            return None
        asked = self.clock.monotonic()
        try:
            async with asyncio.timeout(CONNECT_SECONDS + WHOLE_SECONDS):
                reply = await self._exchange(peer, WholeQuestion(kind))
            changes = unpack(reply.packed)
        except REQUEST_ERRORS as error:
            # Timeouts are among them.
            self._leave(peer, kind, type(error).__name__)
            return None
        if not reply.known:
            self._leave(peer, kind, 'unknown')
            return None
        unanswered = (
            None if reply.unanswered is None else asked - reply.unanswered
        )
        return StoreUpdate(reply.at, asked - reply.age, changes, unanswered)

    async def _exchange(
        self,
        peer: NodeEntry,
        question: WholeQuestion,
    ) -> WholeReply:
        line = await connect_to_peer(self.dial, peer.address)
        try:
            body = await line.ask(question)
        finally:
            line.drop()
        return msgspec.msgpack.decode(body, type=WholeReply)

    def _leave(self, peer: NodeEntry, kind: str, reason: str) -> None:
        self._greeter = None
        self.peer_available.clear()
        self.log.record(
            catalogue.WATCHER_LEFT, peer=peer.name, kind_of=kind, reason=reason
        )
