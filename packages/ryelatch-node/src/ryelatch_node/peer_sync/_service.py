"""Watches the store through peers, and serves the watches of peers."""

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
    WatchReply,
    WatchRequest,
    unpack,
)
from ryelatch_node.peer_sync._bootstrapper import Bootstrapper
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
    WatchCache,
)
from ryelatch_node.peer_sync._cooldowns import COOLDOWN_SECONDS, PeerCooldowns
from ryelatch_node.peer_sync._server import PeerServer
from ryelatch_node.ports import Address, RelayStartup

REPLY_SECONDS = 0.4
"""Time allowed for a reply beyond its wait; enough for a slowed VM."""


def _ignore_count(nodes: int) -> None:
    """Default callback, which ignores the number of nodes."""


@dataclass(eq=False)
class PeerSync:
    """Exchanges the changes of the store's objects with peers.

    A reply of a peer is as reliable as one of the store. It contains the age
    of the peer's state, and the requester dates it from the time at which it
    sent the request, so that each side measures time by its own clock only. A
    peer that is cut off from the store, unresponsive or behind gets no
    requests during a cooldown, and the store is watched as if there were no
    peers.

    :param server: serves the requests of peers.
    :param required_kinds: kinds of object that this node requires to serve.
    :param announce_count: called with the number of nodes that a peer listed.
    :param bootstrap_client: provides the initial state from a peer if this node
        starts during a store outage.
    """

    log: LineLog
    clock: Clock
    startup: RelayStartup
    dial: Dial = asyncio.open_connection
    usage: UsageTracker = field(default_factory=UsageTracker)
    address: Address = field(init=False)
    server: PeerServer = field(init=False)
    required_kinds: frozenset[str] = frozenset()
    announce_count: Callable[[int], None] = _ignore_count
    bootstrap_client: BootstrapClient = field(init=False)
    _caches: dict[str, WatchCache] = field(
        default_factory=lambda: defaultdict(WatchCache)
    )
    _nodes: tuple[NodeEntry, ...] = ()
    _connections: dict[str, PeerConnection] = field(default_factory=dict)
    _listener: asyncio.Server | None = None
    _bootstrap_task: 'asyncio.Task[None] | None' = None

    def __post_init__(self) -> None:
        """Create the server, the bootstrap client and the cooldowns."""
        self.server = PeerServer(self.clock, self.usage, self._caches)
        self.bootstrap_client = BootstrapClient(
            self.log,
            self.clock,
            self.dial,
            lambda: self._is_synced,
            self._accept_nodes,
        )
        self.server.handle_message = self.bootstrap_client.handle_message
        self._cooldowns = PeerCooldowns(self.clock)

    async def start(self) -> None:
        """Listen for peers, and start to contact nodes that may restart."""
        host, port = self.startup.peers
        self._listener = await asyncio.start_server(
            self.server.serve, host, port
        )
        bound = self._listener.sockets[0].getsockname()
        self.address = Address(host, bound[1])
        self.start_bootstrapper()

    def start_bootstrapper(self) -> None:
        """Begin to contact nodes that start during a store outage."""
        bootstrapper = Bootstrapper(
            self.log,
            self.startup.name,
            self.dial,
            lambda: self._nodes,
            lambda: self._is_synced,
            lambda: self.server.find_store_health().out,
            self.clock,
        )
        self._bootstrap_task = asyncio.create_task(
            keep_running('greetings', bootstrapper.run, self.log)
        )

    async def stop(self) -> None:
        """Stop all tasks and close all connections."""
        await cancel_task(self._bootstrap_task)
        if self._listener is not None:
            self._listener.close()
        for kind in tuple(self._connections):
            self._drop(kind)
        await self.server.stop()

    def update_nodes(self, nodes: Iterable[NodeEntry]) -> None:
        """Set the list of all nodes, this one included."""
        self._nodes = tuple(nodes)

    def reset(
        self,
        kind: str,
        update: StoreUpdate,
        objects: Mapping[str, bytes],
    ) -> None:
        """Replace the cached objects of a kind by a complete list.

        :param update: the list, from the store or from a peer.
        :param objects: content for peers that can't list at the store, by
            name.
        """
        self._caches[kind].reset(update, objects)

    def apply_change(self, kind: str, name: str, change: Change) -> None:
        """Apply a change to the objects that peers list here.

        Peers do so if they can't list at the store.

        :param name: of the object.
        """
        if change.deleted:
            self._caches[kind].remove(name)
        else:
            self._caches[kind].put(name, change.content)

    def record(self, kind: str, update: StoreUpdate) -> None:
        """Record the result of a watch, from the store or from a peer."""
        self._caches[kind].record(update)

    async def request_changes(
        self,
        kind: str,
        since: int,
        wait: float,
        *,
        max_age: float,
        cut_off: bool,
    ) -> StoreUpdate | PeerCutOff | None:
        """Request the changes of a kind from a peer.

        :param since: revision of the store that this node has.
        :param wait: seconds after which the peer replies without changes.
        :param max_age: maximum age of the peer's state, in seconds.
        :param cut_off: whether the store is unavailable to this node; if so, a
            node that watches for others sends requests to peers, too.
        :returns: nothing if there is no peer to ask, if the request fails, or
            if the reply can't be used.
        """
        peer = self._choose_peer(cut_off=cut_off)
        if peer is None:
            return None
        sent = self.clock.monotonic()
        request = WatchRequest(kind, since, wait, cut_off)
        try:
            async with asyncio.timeout(wait + CONNECT_SECONDS + REPLY_SECONDS):
                reply = await self._exchange(kind, peer, request)
            changes = unpack(reply.packed)
        except asyncio.CancelledError:
            # The outstanding reply would be read as that to the next request.
            self._drop(kind)
            raise
        except REQUEST_ERRORS as error:
            # Timeouts included: the peer may be unresponsive.
            self._abandon(kind, peer, type(error).__name__)
            return None
        replied = sent + min(reply.waited, self.clock.monotonic() - sent)
        unanswered = (
            None if reply.unanswered is None else replied - reply.unanswered
        )
        if reply.age <= max_age:
            if not reply.covered:
                return None
            return StoreUpdate(
                reply.at, replied - reply.age, changes, unanswered, reply.out
            )
        reason = 'blind' if reply.out else 'behind'
        self._abandon(kind, peer, reason, answered=True)
        return None if unanswered is None else PeerCutOff(unanswered)

    @property
    def nodes(self) -> tuple[NodeEntry, ...]:
        """All nodes, this one included."""
        return self._nodes

    @property
    def has_watchers(self) -> bool:
        """Whether the fleet has nodes that watch the store for others."""
        return shares_watches(self._nodes)

    @property
    def watches_for_others(self) -> bool:
        """Whether this node watches the store for others.

        A node that receives watch requests does, whatever its own list of
        nodes implies. With a list from before the other nodes joined, it would
        watch only for itself, and its followers would abandon it every two
        seconds.
        """
        if self.clock.monotonic() - self.server.last_watched < COOLDOWN_SECONDS:
            return True
        return watches_for_others(
            self.startup.name, self.startup.zone, self._nodes
        )

    @property
    def _is_synced(self) -> bool:
        """Whether this node has the state it needs to serve."""
        return self.required_kinds <= self._caches.keys()

    def _accept_nodes(self, nodes: tuple[NodeEntry, ...]) -> None:
        """Use a peer's list of nodes, unless this node has one."""
        if not self._nodes:
            self.update_nodes(nodes)
            self.announce_count(len(nodes))

    def _choose_peer(self, *, cut_off: bool) -> NodeEntry | None:
        """Choose the peer to watch through; none to watch the store itself."""
        if not cut_off and (not self.has_watchers or self.watches_for_others):
            return None
        local_name, zone = self.startup.name, self.startup.zone
        offered = choose_watchers(local_name, zone, self._nodes)
        store_out = self.has_watchers and self.server.find_store_health().out
        return next(
            (
                peer
                for peer in offered
                if not self._cooldowns.is_cooling_down(
                    peer.name, store_out=store_out
                )
            ),
            None,
        )

    async def _exchange(
        self,
        kind: str,
        peer: NodeEntry,
        request: WatchRequest,
    ) -> WatchReply:
        connection = self._connections.get(kind)
        if connection is None or connection.address != peer.address:
            self._drop(kind)
            connection = await connect_to_peer(self.dial, peer.address)
            self._connections[kind] = connection
        self.usage.count('peers', kind, 'questions')
        return msgspec.msgpack.decode(
            await connection.send_request(request), type=WatchReply
        )

    def _abandon(
        self,
        kind: str,
        peer: NodeEntry,
        reason: str,
        *,
        answered: bool = False,
    ) -> None:
        self._drop(kind)
        self._cooldowns.start(peer.name, answered=answered)
        self.log.record(
            catalogue.WATCHER_LEFT, peer=peer.name, kind_of=kind, reason=reason
        )

    def _drop(self, kind: str) -> None:
        connection = self._connections.pop(kind, None)
        if connection is not None:
            connection.drop()


def setup(app: App) -> None:
    """Add the service ``peer_sync``."""
    peer_sync = PeerSync(
        app.find('log', LineLog),
        app.clock,
        app.find('startup', RelayStartup),
        usage=app.find('costs', UsageTracker),
    )
    app.add(
        Service('news', peer_sync, start=peer_sync.start, stop=peer_sync.stop)
    )
