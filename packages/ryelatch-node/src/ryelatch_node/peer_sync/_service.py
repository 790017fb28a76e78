"""Watches the store through peers, and serves the watches of peers."""

import asyncio
import functools
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from ryelatch_core.eras import StoreRevision
from ryelatch_core.events import LineLog, UsageTracker, catalogue, keep_running
from ryelatch_core.kernel import App, Clock, Service, cancel_task
from ryelatch_core.membership import (
    NodeEntry,
    choose_watchers,
    shares_watches,
    watches_for_others,
)
from ryelatch_node.peer_sync._bootstrap_client import BootstrapClient
from ryelatch_node.peer_sync._bootstrapper import Bootstrapper
from ryelatch_node.peer_sync._connection import (
    CONNECT_SECONDS,
    REQUEST_ERRORS,
    Dial,
    PeerConnection,
    connect_to_peer,
)
from ryelatch_node.peer_sync._cooldowns import COOLDOWN_SECONDS, PeerCooldowns
from ryelatch_node.peer_sync._frames import (
    Change,
    WatchReply,
    WatchRequest,
    unpack,
)
from ryelatch_node.peer_sync._health_request import request_store_health
from ryelatch_node.peer_sync._initial_source import (
    SLOW_LINK_MBPS,
    InitialSources,
)
from ryelatch_node.peer_sync._joining import Joining
from ryelatch_node.peer_sync._seen_version_client import SeenVersionClient
from ryelatch_node.peer_sync._server import PeerServer
from ryelatch_node.peer_sync._watch_cache import (
    PeerPartitioned,
    StoreHealth,
    StoreUpdate,
    WatchCache,
)
from ryelatch_node.ports import Address, RelayStartup
from ryelatch_node.tasks import Tasks

REPLY_SECONDS = 0.4
"""Time allowed for a reply beyond the requested wait; enough for a slow VM."""


def _ignore_count(nodes: int) -> None:
    """Default callback, which ignores the number of nodes."""


def _accept_any_era(era: int) -> bool:
    """Default callback, for nodes that don't follow the store."""
    return True


@dataclass(eq=False)
class PeerSync:
    """Exchanges the changes of the store's objects with peers.

    A reply of a peer is as reliable as one of the store. It contains the age
    of the peer's state, and the requester dates it from the time at which it
    sent the request, so that each side measures time by its own clock only. A
    peer that is partitioned from the store, unresponsive or behind gets no
    requests during a cooldown. If no other peer is available meanwhile, this
    node watches the store itself.

    :param server: serves the requests of peers.
    :param required_kinds: kinds of object that this node requires to serve.
    :param accept_era: called with the era that a peer's reply is of; returns
        whether it is the latest.
    :param announce_count: called with the number of nodes that a peer listed.
    :param bootstrap_client: provides the initial state from a peer if the store
        doesn't.
    :param initial_sources: chooses that peer if the store is only slow.
    :param seen_version_client: asks peers what they have seen.
    :param joining: makes nodes known that were just registered.
    """

    log: LineLog
    clock: Clock
    startup: RelayStartup
    dial: Dial = asyncio.open_connection
    usage: UsageTracker = field(default_factory=UsageTracker)
    address: Address = field(init=False)
    server: PeerServer = field(init=False)
    required_kinds: frozenset[str] = frozenset()
    accept_era: Callable[[int], bool] = _accept_any_era
    announce_count: Callable[[int], None] = _ignore_count
    bootstrap_client: BootstrapClient = field(init=False)
    initial_sources: InitialSources = field(init=False)
    seen_version_client: SeenVersionClient = field(init=False)
    joining: Joining = field(init=False)
    _caches: dict[str, WatchCache] = field(
        default_factory=lambda: defaultdict(WatchCache)
    )
    _nodes: tuple[NodeEntry, ...] = ()
    _connections: dict[str, PeerConnection] = field(default_factory=dict)
    _listener: asyncio.Server | None = None
    _bootstrap_task: 'asyncio.Task[None] | None' = None
    _sources_task: 'asyncio.Task[None] | None' = None
    _tasks: Tasks = field(init=False)

    def __post_init__(self) -> None:
        """Create the parts that keep state of their own."""
        self.server = PeerServer(self.clock, self.usage, self._caches)
        self.bootstrap_client = BootstrapClient(
            self.log,
            self.clock,
            self.dial,
            lambda: self._is_synced,
            self._accept_nodes,
            lambda era: self.accept_era(era),
        )
        self.server.newcomers.set_descriptors(self.startup.max_files)
        self.server.handle_message = self.bootstrap_client.handle_message
        self.server.list_hosts = self._list_hosts
        self.initial_sources = InitialSources(
            self.clock,
            self.startup.name,
            self.startup.zone,
            self.startup.link_mbps,
            self.bootstrap_client,
            lambda: self._nodes,
            lambda: self._is_synced,
        )
        self.seen_version_client = SeenVersionClient(
            self.startup.name,
            self.dial,
            lambda: self._nodes,
            self.initial_sources.nodes_known,
            lambda era: self.accept_era(era),
        )
        self.joining = Joining(
            self.startup.name,
            self.clock,
            self.connect_as_node,
            lambda: self._nodes,
            self._add_node,
        )
        self.server.handle_join = self.joining.handle_request
        self._tasks = Tasks(self.log, 'joining')
        self._cooldowns = PeerCooldowns(self.clock)

    async def start(self) -> None:
        """Listen for peers, and start to exchange initial state with them."""
        host, port = self.startup.peers
        self._listener = await asyncio.start_server(
            self.server.serve, host, port
        )
        bound = self._listener.sockets[0].getsockname()
        self.address = Address(host, bound[1])
        self.start_bootstrapper()

    def start_bootstrapper(self) -> None:
        """Begin to contact starting nodes, and to look for initial state."""
        bootstrapper = Bootstrapper(
            self.log,
            self.startup.name,
            self.dial,
            lambda: self._nodes,
            lambda: self._is_synced,
            lambda: self.server.get_store_health().out,
            self.clock,
        )
        self._bootstrap_task = asyncio.create_task(
            keep_running('greetings', bootstrapper.run, self.log)
        )
        if self.startup.link_mbps < SLOW_LINK_MBPS:
            self._sources_task = asyncio.create_task(
                keep_running('sources', self.initial_sources.run, self.log)
            )

    def start_joining(self) -> None:
        """Begin to make this node known, once its entry has been created."""
        self._tasks.spawn(self.joining.run())

    async def stop(self) -> None:
        """Stop all tasks and close all connections."""
        await self._tasks.stop()
        await cancel_task(self._bootstrap_task)
        await cancel_task(self._sources_task)
        if self._listener is not None:
            self._listener.close()
        for object_kind in tuple(self._connections):
            self._drop(object_kind)
        await self.server.stop()

    def update_nodes(self, nodes: Iterable[NodeEntry]) -> None:
        """Set the list of all nodes, this one included."""
        self._nodes = self.joining.complete(nodes)
        self.initial_sources.nodes_known.set()

    def reset(
        self,
        object_kind: str,
        update: StoreUpdate,
        objects: Mapping[str, bytes],
    ) -> None:
        """Replace the cached objects of a kind by a complete list.

        :param update: the list, from the store or from a peer.
        :param objects: content for peers that can't list at the store, by
            name.
        """
        self._caches[object_kind].reset(update, objects)

    def apply_change(self, object_kind: str, name: str, change: Change) -> None:
        """Apply a change to the objects that this node lists for peers.

        Peers that can't reach the store list the objects here instead.

        :param name: name of the object.
        """
        if change.deleted:
            self._caches[object_kind].remove(name)
        else:
            self._caches[object_kind].put(name, change.content)

    def record(self, object_kind: str, update: StoreUpdate) -> None:
        """Record the result of a watch, from the store or from a peer."""
        self._caches[object_kind].record(update)

    async def request_changes(
        self,
        object_kind: str,
        since: StoreRevision,
        wait_seconds: float,
        *,
        max_age: float,
        partitioned: bool,
    ) -> StoreUpdate | PeerPartitioned | None:
        """Request the changes of a kind from a peer.

        :param since: revision of the store that this node has.
        :param wait_seconds: time after which the peer replies without changes.
        :param max_age: maximum age of the peer's state, in seconds.
        :param partitioned: whether this node is partitioned from the store; if
            so, a node that watches for others sends requests to peers, too.
        :returns: the changes; or that the peer's state is older than
            ``max_age``, if the peer has an unanswered call to the store;
            ``None`` if no peer is available, if the request fails, or if the
            reply is too old or lacks some of the changes.
        """
        peer = self._choose_peer(partitioned=partitioned)
        if peer is None:
            return None
        sent = self.clock.monotonic()
        request = WatchRequest(
            object_kind, since.number, wait_seconds, partitioned, since.era
        )
        try:
            async with asyncio.timeout(
                wait_seconds + CONNECT_SECONDS + REPLY_SECONDS
            ):
                reply = await self._exchange(object_kind, peer, request)
            changes = unpack(reply.packed)
        except asyncio.CancelledError:
            # Otherwise the outstanding reply would be read as the reply to
            # the next request.
            self._drop(object_kind)
            raise
        except REQUEST_ERRORS as error:
            # REQUEST_ERRORS includes timeouts: the peer may be unresponsive.
            self._abandon(object_kind, peer, type(error).__name__)
            return None
        replied = sent + min(reply.waited, self.clock.monotonic() - sent)
        unanswered = (
            None if reply.unanswered is None else replied - reply.unanswered
        )
        if not self.accept_era(reply.era):
            self._abandon(object_kind, peer, 'era', answered=True)
            return None
        if reply.age <= max_age:
            at = StoreRevision(reply.era, reply.at)
            if not reply.covered or not at.can_follow(since):
                return None
            return StoreUpdate(
                at, replied - reply.age, changes, unanswered, reply.out
            )
        reason = 'blind' if reply.out else 'behind'
        self._abandon(object_kind, peer, reason, answered=True)
        return None if unanswered is None else PeerPartitioned(unanswered)

    async def request_list(
        self, object_kind: str, *, partitioned: bool
    ) -> StoreUpdate | None:
        """Request all objects of a kind from a peer.

        :param partitioned: whether this node is partitioned from the store.
        :returns: ``None`` if no peer is available, or it has no list of the
            latest era.
        """
        peer = self._choose_peer(partitioned=partitioned)
        if peer is None:
            return None
        return await self.bootstrap_client.request_list_from(peer, object_kind)

    async def request_health(self, object_kind: str) -> StoreHealth | None:
        """Ask the peer that watches for this node how the store is to it.

        :param object_kind: a kind that this node has listed.
        :returns: ``None`` if there is no such peer, or it doesn't reply.
        """
        watchers = choose_watchers(
            self.startup.name, self.startup.zone, self._nodes
        )
        responsive = (
            peer
            for peer in watchers
            if not self._cooldowns.is_unresponsive(peer.name)
        )
        peer = next(responsive, None)
        if peer is None:
            return None
        since = self._caches[object_kind].at
        return await request_store_health(
            self.dial, self.clock, peer.address, object_kind, since
        )

    async def connect_as_node(self, address: str) -> PeerConnection:
        """Connect to a peer from the host of this node's own address.

        The peer serves some requests only to hosts that it knows as nodes; a
        VM with several addresses would use any of them.

        :param address: ``host:port`` of the peer.
        :raises OSError: if it can't be reached in time.
        """
        own_host = self.startup.peers.host
        dial = functools.partial(self.dial, local_addr=(own_host, 0))
        return await connect_to_peer(dial, address)

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

        A node that receives watch requests from peers counts as a watcher,
        whatever its own list of nodes implies. Otherwise a node whose list was
        made before the other nodes joined would watch only for itself, and the
        peers that rely on it would abandon it every two seconds.
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

    def _list_hosts(self) -> frozenset[str]:
        return frozenset(
            node.address.rpartition(':')[0] for node in self._nodes
        )

    def _accept_nodes(self, nodes: tuple[NodeEntry, ...]) -> None:
        """Use a peer's list of nodes, unless this node has one."""
        if not self._nodes:
            self.update_nodes(nodes)
            self.announce_count(len(nodes))

    def _add_node(self, entry: NodeEntry) -> None:
        others = (node for node in self._nodes if node.name != entry.name)
        self.update_nodes((*others, entry))
        self.announce_count(len(self._nodes))

    def _choose_peer(self, *, partitioned: bool) -> NodeEntry | None:
        """Choose the peer that watch requests are sent to.

        :returns: ``None`` if this node has to watch the store itself, or if
            all suitable peers are in cooldown.
        """
        if not partitioned and (
            not self.has_watchers or self.watches_for_others
        ):
            return None
        local_name, zone = self.startup.name, self.startup.zone
        offered = choose_watchers(local_name, zone, self._nodes)
        store_out = self.has_watchers and self.server.get_store_health().out
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
        object_kind: str,
        peer: NodeEntry,
        request: WatchRequest,
    ) -> WatchReply:
        connection = self._connections.get(object_kind)
        if connection is None or connection.address != peer.address:
            self._drop(object_kind)
            connection = await connect_to_peer(self.dial, peer.address)
            self._connections[object_kind] = connection
        self.usage.count('peers', object_kind, 'questions')
        return msgspec.msgpack.decode(
            await connection.send_request(request), type=WatchReply
        )

    def _abandon(
        self,
        object_kind: str,
        peer: NodeEntry,
        reason: str,
        *,
        answered: bool = False,
    ) -> None:
        self._drop(object_kind)
        self._cooldowns.start(peer.name, answered=answered)
        self.log.record(
            catalogue.WATCHER_LEFT,
            peer=peer.name,
            kind_of=object_kind,
            reason=reason,
        )

    def _drop(self, object_kind: str) -> None:
        connection = self._connections.pop(object_kind, None)
        if connection is not None:
            connection.drop()


def setup(app: App) -> None:
    """Add the service ``news``, which exchanges changes with peers."""
    peer_sync = PeerSync(
        app.find('log', LineLog),
        app.clock,
        app.find('startup', RelayStartup),
        usage=app.find('costs', UsageTracker),
    )
    app.add(
        Service('news', peer_sync, start=peer_sync.start, stop=peer_sync.stop)
    )
