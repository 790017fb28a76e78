"""Asks peers what the store says, and tells them."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from ryelatch_core.events import LineLog, UsageTracker, catalogue, keep_running
from ryelatch_core.kernel import App, Clock, Service, cancel_task
from ryelatch_core.membership import (
    NodeEntry,
    choose_watchers,
    shares_watches,
    watches_for_others,
)
from ryelatch_node.peer_sync._frames import (
    Change,
    Question,
    Reply,
    unpack,
)
from ryelatch_node.peer_sync._bootstrapper import Greeter
from ryelatch_node.peer_sync._bootstrap_client import BootstrapClient
from ryelatch_node.peer_sync._connection import (
    CONNECT_SECONDS,
    REQUEST_ERRORS,
    Dial,
    PeerConnection,
    connect_to_peer,
)
from ryelatch_node.peer_sync._watch_cache import (
    PeerCutOff,
    StoreUpdate,
    Memory,
)
from ryelatch_node.peer_sync._cooldowns import REST_SECONDS, RestBook
from ryelatch_node.peer_sync._server import PeerServer
from ryelatch_node.ports import Address, RelayStartup

REPLY_SECONDS = 0.4
"""How long beyond its wait a reply may take, a slowed VM's included."""


def _ignore_count(nodes: int) -> None:
    """Nothing here depends on how many nodes there are."""


@dataclass(eq=False)
class PeerSync:
    """What this node and its peers know of the store's objects.

    A peer's word is as good as the store's: each reply tells how long ago
    nothing else had changed, counted on one clock at either end, and is dated
    from when the question was sent. A peer that is cut off, silent or behind
    is left, and the store asked as if there were no peers.

    :param server: answers those who ask this node.
    :param required_kinds: kinds of object without which this node serves nothing.
    :param announce_count: told how many nodes a peer has named.
    :param bootstrap_client: what a peer tells at a start while the store is out.
    """

    log: LineLog
    clock: Clock
    startup: RelayStartup
    dial: Dial = asyncio.open_connection
    costs: UsageTracker = field(default_factory=UsageTracker)
    address: Address = field(init=False)
    server: PeerServer = field(init=False)
    required_kinds: frozenset[str] = frozenset()
    announce_count: Callable[[int], None] = _ignore_count
    bootstrap_client: BootstrapClient = field(init=False)
    _memories: dict[str, Memory] = field(
        default_factory=lambda: defaultdict(Memory)
    )
    _nodes: tuple[NodeEntry, ...] = ()
    _lines: dict[str, PeerConnection] = field(default_factory=dict)
    _listener: asyncio.Server | None = None
    _greeting: 'asyncio.Task[None] | None' = None

    def __post_init__(self) -> None:
        """Make what answers, and what remembers who was left."""
        self.server = PeerServer(self.clock, self.costs, self._memories)
        self.bootstrap_client = BootstrapClient(
            self.log, self.clock, self.dial, lambda: self._knows, self._learn
        )
        self.server.take_greeting = self.bootstrap_client.take
        self._rests = RestBook(self.clock)

    async def start(self) -> None:
        """Listen for peers."""
        host, port = self.startup.peers
        self._listener = await asyncio.start_server(
            self.server.serve, host, port
        )
        bound = self._listener.sockets[0].getsockname()
        self.address = Address(host, bound[1])
        self.start_bootstrapper()

    def start_bootstrapper(self) -> None:
        """Begin to greet nodes that start while the store is out."""
        greeter = Greeter(
            self.log,
            self.startup.name,
            self.dial,
            lambda: self._nodes,
            lambda: self._knows,
            lambda: self.server.find_store_health().out,
            self.clock,
        )
        self._greeting = asyncio.create_task(
            keep_running('greetings', greeter.run, self.log)
        )

    async def stop(self) -> None:
        """Close everything."""
        await cancel_task(self._greeting)
        if self._listener is not None:
            self._listener.close()
        for kind in tuple(self._lines):
            self._drop(kind)
        await self.server.stop()

    def update_nodes(self, nodes: Iterable[NodeEntry]) -> None:
        """Take note of which nodes there are."""
        self._nodes = tuple(nodes)

    def reset(
        self,
        kind: str,
        heard: StoreUpdate,
        objects: Mapping[str, bytes],
    ) -> None:
        """Take a whole list, from the store or from a peer.

        :param objects: what is kept for those who can't list, by name.
        """
        self._memories[kind].reset(heard, objects)

    def apply_change(self, kind: str, name: str, change: Change) -> None:
        """Keep a changed object for those who can't list."""
        if change.deleted:
            self._memories[kind].forget(name)
        else:
            self._memories[kind].apply_change(name, change.content)

    def record(self, kind: str, heard: StoreUpdate) -> None:
        """Take an answer to a watch, from whomever."""
        self._memories[kind].record(heard)

    async def request_changes(
        self,
        kind: str,
        since: int,
        wait: float,
        *,
        max_age: float,
        cut_off: bool,
    ) -> StoreUpdate | PeerCutOff | None:
        """Ask a peer for what has changed.

        :param max_age: seconds since a peer heard of the store itself, beyond
            which its word is no use.
        :param cut_off: whether the store does not answer this node; one that
            watches for others then asks them too.
        :returns: nothing if the peer is of no use.
        """
        peer = self._choose(cut_off=cut_off)
        if peer is None:
            return None
        sent = self.clock.monotonic()
        question = Question(kind, since, wait, cut_off)
        try:
            async with asyncio.timeout(wait + CONNECT_SECONDS + REPLY_SECONDS):
                reply = await self._exchange(kind, peer, question)
            changes = unpack(reply.packed)
        except asyncio.CancelledError:
            # Its reply is still to come, and would answer the next question.
            self._drop(kind)
            raise
        except REQUEST_ERRORS as error:
            # Timeouts are among them: a peer whose connections went silent.
            self._leave(kind, peer, type(error).__name__)
            return None
        told = sent + min(reply.waited, self.clock.monotonic() - sent)
        unanswered = (
            None if reply.unanswered is None else told - reply.unanswered
        )
        if reply.age <= max_age:
            if not reply.covered:
                return None
            return StoreUpdate(
                reply.at, told - reply.age, changes, unanswered, reply.out
            )
        reason = 'blind' if reply.out else 'behind'
        self._leave(kind, peer, reason, answered=True)
        return None if unanswered is None else PeerCutOff(unanswered)

    @property
    def nodes(self) -> tuple[NodeEntry, ...]:
        """The nodes that there are, this one included."""
        return self._nodes

    @property
    def has_watchers(self) -> bool:
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

    @property
    def _knows(self) -> bool:
        """Whether this node has learned what it needs to serve."""
        return self.required_kinds <= self._memories.keys()

    def _learn(self, nodes: tuple[NodeEntry, ...]) -> None:
        """Learn from a peer which nodes there are, if this one can't."""
        if not self._nodes:
            self.update_nodes(nodes)
            self.announce_count(len(nodes))

    def _choose(self, *, cut_off: bool) -> NodeEntry | None:
        """Choose the peer to ask; none if this node asks the store."""
        if not cut_off and (not self.has_watchers or self.watches_for_others):
            return None
        me, zone = self.startup.name, self.startup.zone
        offered = choose_watchers(me, zone, self._nodes)
        waits = self.has_watchers and self.server.find_store_health().out
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
            line = await connect_to_peer(self.dial, peer.address)
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
        self._rests.record(peer.name, answered=answered)
        self.log.record(
            catalogue.WATCHER_LEFT, peer=peer.name, kind_of=kind, reason=reason
        )

    def _drop(self, kind: str) -> None:
        line = self._lines.pop(kind, None)
        if line is not None:
            line.drop()


def setup(app: App) -> None:
    """Add the service ``peer_sync``."""
    peer_sync = PeerSync(
        app.find('log', LineLog),
        app.clock,
        app.find('startup', RelayStartup),
        costs=app.find('costs', UsageTracker),
    )
    app.add(Service('news', peer_sync, start=peer_sync.start, stop=peer_sync.stop))
