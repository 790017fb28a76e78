"""Asks peers what the store says, and tells them."""

import asyncio
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from ryelatch_core.events import CostBook, LineLog, catalogue
from ryelatch_core.kernel import App, Clock, Service
from ryelatch_core.membership import (
    NodeEntry,
    choose_watchers,
    shares_watches,
    watches_for_others,
)
from ryelatch_node.news._frames import (
    Question,
    Reply,
    unpack,
)
from ryelatch_node.news._line import (
    CONNECT_SECONDS,
    FAILURES,
    Dial,
    Line,
    open_line,
)
from ryelatch_node.news._memory import (
    Blind,
    Heard,
    Memory,
)
from ryelatch_node.news._rests import REST_SECONDS, RestBook
from ryelatch_node.news._server import PeerServer
from ryelatch_node.ports import Address, RelayStartup

REPLY_SECONDS = 0.4
"""How long beyond its wait a reply may take, a slowed VM's included."""


@dataclass(eq=False)
class News:
    """What this node and its peers know of the store's objects.

    A peer's word is as good as the store's: each reply tells how long ago
    nothing else had changed, counted on one clock at either end, and is dated
    from when the question was sent. A peer that is cut off, silent or behind
    is left, and the store asked as if there were no peers.

    :param server: answers those who ask this node.
    """

    log: LineLog
    clock: Clock
    startup: RelayStartup
    dial: Dial = asyncio.open_connection
    costs: CostBook = field(default_factory=CostBook)
    address: Address = field(init=False)
    server: PeerServer = field(init=False)
    _memories: dict[str, Memory] = field(
        default_factory=lambda: defaultdict(Memory)
    )
    _nodes: tuple[NodeEntry, ...] = ()
    _lines: dict[str, Line] = field(default_factory=dict)
    _listener: asyncio.Server | None = None

    def __post_init__(self) -> None:
        """Make what answers, and what remembers who was left."""
        self.server = PeerServer(self.clock, self.costs, self._memories)
        self._rests = RestBook(self.clock)

    async def start(self) -> None:
        """Listen for peers."""
        host, port = self.startup.peers
        self._listener = await asyncio.start_server(
            self.server.serve, host, port
        )
        bound = self._listener.sockets[0].getsockname()
        self.address = Address(host, bound[1])

    async def stop(self) -> None:
        """Close everything."""
        if self._listener is not None:
            self._listener.close()
        for kind in tuple(self._lines):
            self._drop(kind)
        await self.server.stop()

    def know(self, nodes: Iterable[NodeEntry]) -> None:
        """Take note of which nodes there are."""
        self._nodes = tuple(nodes)

    def restart(self, kind: str, heard: Heard) -> None:
        """Take a whole list from the store."""
        self._memories[kind].restart(heard)

    def note(self, kind: str, heard: Heard) -> None:
        """Take an answer to a watch, from whomever."""
        self._memories[kind].note(heard)

    async def ask(
        self,
        kind: str,
        since: int,
        wait: float,
        *,
        oldest: float,
        alone: bool,
    ) -> Heard | Blind | None:
        """Ask a peer for what has changed.

        :param oldest: seconds since a peer heard of the store itself, beyond
            which its word is no use.
        :param alone: whether the store does not answer this node; one that
            watches for others then asks them too.
        :returns: nothing if the peer is of no use.
        """
        peer = self._choose(alone=alone)
        if peer is None:
            return None
        sent = self.clock.monotonic()
        question = Question(kind, since, wait, alone)
        try:
            async with asyncio.timeout(wait + CONNECT_SECONDS + REPLY_SECONDS):
                reply = await self._exchange(kind, peer, question)
            changes = unpack(reply.packed)
        except asyncio.CancelledError:
            # Its reply is still to come, and would answer the next question.
            self._drop(kind)
            raise
        except FAILURES as error:
            # Timeouts are among them: a peer whose connections went silent.
            self._leave(kind, peer, type(error).__name__)
            return None
        told = sent + min(reply.waited, self.clock.monotonic() - sent)
        unanswered = (
            None if reply.unanswered is None else told - reply.unanswered
        )
        if reply.age <= oldest:
            if not reply.covered:
                return None
            return Heard(
                reply.at, told - reply.age, changes, unanswered, reply.out
            )
        reason = 'blind' if reply.out else 'behind'
        self._leave(kind, peer, reason, answered=True)
        return None if unanswered is None else Blind(unanswered)

    @property
    def nodes(self) -> tuple[NodeEntry, ...]:
        """The nodes that there are, this one included."""
        return self._nodes

    @property
    def shares(self) -> bool:
        """Whether some nodes of this fleet watch for others."""
        return shares_watches(self._nodes)

    @property
    def watches_for_others(self) -> bool:
        """Whether this node watches the store for others.

        One that is asked does, whatever its own count of the nodes says: with
        a count from before the others came it watched as for itself alone,
        and its followers left it every two seconds.
        """
        if self.clock.monotonic() - self.server.asked < REST_SECONDS:
            return True
        return watches_for_others(
            self.startup.name, self.startup.zone, self._nodes
        )

    def _choose(self, *, alone: bool) -> NodeEntry | None:
        """Choose the peer to ask; none if this node asks the store."""
        if not alone and (not self.shares or self.watches_for_others):
            return None
        me, zone = self.startup.name, self.startup.zone
        offered = choose_watchers(me, zone, self._nodes)
        waits = self.shares and self.server.find_trouble().out
        return next(
            (
                one
                for one in offered
                if not self._rests.rests(one.name, all_wait=waits)
            ),
            None,
        )

    async def _exchange(
        self,
        kind: str,
        peer: NodeEntry,
        question: Question,
    ) -> Reply:
        line = self._lines.get(kind)
        if line is None or line.address != peer.address:
            self._drop(kind)
            line = await open_line(self.dial, peer.address)
            self._lines[kind] = line
        self.costs.count('peers', kind, 'questions')
        return msgspec.msgpack.decode(await line.ask(question), type=Reply)

    def _leave(
        self,
        kind: str,
        peer: NodeEntry,
        reason: str,
        *,
        answered: bool = False,
    ) -> None:
        self._drop(kind)
        self._rests.note(peer.name, answered=answered)
        self.log.record(
            catalogue.WATCHER_LEFT, peer=peer.name, kind_of=kind, reason=reason
        )

    def _drop(self, kind: str) -> None:
        line = self._lines.pop(kind, None)
        if line is not None:
            line.drop()


def setup(app: App) -> None:
    """Add the service ``news``."""
    news = News(
        app.find('log', LineLog),
        app.clock,
        app.find('startup', RelayStartup),
        costs=app.find('costs', CostBook),
    )
    app.add(Service('news', news, start=news.start, stop=news.stop))
