"""The service ``peers``: streams to other nodes and their frames."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable

from ryelatch_core.events import Stamp, Timeline, catalogue
from ryelatch_core.kernel import App, Service
from ryelatch_core.membership import choose_peers, should_watch
from ryelatch_core.settings import Bundle, Index, Startup
from ryelatch_node.admission import Admission
from ryelatch_node.config import SettingsApplied, SettingsHolder
from ryelatch_node.peers import _frames as frames
from ryelatch_node.peers._delta import make_delta, merge_delta
from ryelatch_node.peers._handshake import (
    HandshakeError,
    accept_peer,
    join_peer,
)
from ryelatch_node.peers._stream import Peer
from ryelatch_node.peers._tls import make_client_tls, make_server_tls
from ryelatch_node.upstreams import RosterChanged, Upstreams

HEARTBEAT_INTERVAL_SECONDS = 1.0
PEER_TIMEOUT_SECONDS = 3.5
DIAL_SECONDS = 1.0
_READ_BYTES = 65536


class Peers:
    """Streams to other nodes.

    Nodes exchange heartbeats, revisions of the settings and lists of VMs.
    Only a few nodes of each availability zone watch the store for these; the
    others receive them from peers.
    """

    def __init__(self, app: App, startup: Startup) -> None:
        self.peers: dict[str, Peer] = {}
        self.draining = False
        self.bytes_sent = 0
        self._app = app
        self._startup = startup
        self._timeline = app.find('timeline', Timeline)
        self._holder = app.find('settings', SettingsHolder)
        self._upstreams = app.find('upstreams', Upstreams)
        self._admission = app.find('admission', Admission)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._holder.should_watch = self.should_watch
        self._upstreams.should_list = self.should_watch
        self._admission.count_nodes = self._count_nodes
        app.hub.connect(
            SettingsApplied, lambda _: self._offer_settings_to_all()
        )
        app.hub.connect(RosterChanged, lambda _: self._send_heartbeats())

    async def start(self) -> None:
        """Listen for peers, and start dialling them."""
        address = self._startup.peers
        self._server = await asyncio.start_server(
            self._accept,
            address.host,
            address.port,
            ssl=make_server_tls(self._startup.tls),
        )
        self._spawn(self._run_heartbeat())
        self._spawn(self._run_dialing())

    @property
    def port(self) -> int:
        """The port for peers; the operating system may have chosen it."""
        assert self._server is not None
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def stop(self) -> None:
        """Announce the shutdown to the peers, and close the streams."""
        self.announce_drain()
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def should_watch(self) -> bool:
        """Tell whether this node watches the store for its zone."""
        zone = self._startup.zone
        zone_peers = [
            peer.name
            for peer in self.peers.values()
            if peer.zone == zone and not peer.draining
        ]
        return should_watch(self._startup.name, zone_peers)

    def announce_drain(self) -> None:
        """Announce the drain, so that peers take over without a timeout."""
        self.draining = True
        self._send_heartbeats()

    def _count_nodes(self) -> int:
        """Count the nodes in the platform's list; they share the engines."""
        return len(self._upstreams.roster.list_role('node'))

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_heartbeat(self) -> None:
        while True:
            self._send_heartbeats()
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    def _send_heartbeats(self) -> None:
        stamp = self._timeline.clock.stamp()
        heartbeat = frames.Heartbeat(
            stamp.wall,
            stamp.tick,
            self._holder.revision,
            self.draining,
            self._upstreams.roster.list_leaving(),
            self._admission.list_demands(),
        )
        self.bytes_sent += len(frames.encode_frame(heartbeat)) * len(self.peers)
        vms = self._upstreams.list_vms()
        for peer in self.peers.values():
            peer.send(heartbeat)
            if peer.zone == self._startup.zone and peer.vms != vms:
                peer.vms = vms
                peer.send(frames.VmList(vms))

    def _offer_settings_to_all(self) -> None:
        for peer in self.peers.values():
            self._offer_settings(peer)

    def _offer_settings(self, peer: Peer) -> None:
        previous = self._holder.previous.index.revision
        if peer.revision >= self._holder.revision:
            return
        if previous and peer.revision == previous:
            peer.send(make_delta(self._holder.previous, self._holder.bundle))
        else:
            peer.send(frames.RevisionOffer(self._holder.bundle.index))

    async def _run_dialing(self) -> None:
        dials: dict[str, asyncio.Task[None]] = {}
        for turn in itertools.count():
            for address, name in self._list_targets(late=turn > 1):
                running = dials.get(address)
                if running is None or running.done():
                    dials[address] = asyncio.ensure_future(
                        self._dial(address, name)
                    )
                    self._tasks.add(dials[address])
                    dials[address].add_done_callback(self._tasks.discard)
            await asyncio.sleep(DIAL_SECONDS)

    def _list_targets(self, *, late: bool) -> list[tuple[str, str]]:
        """List addresses and names of the nodes to dial.

        :param late: whether to dial nodes with lower names too. In the first
            rounds only the node with the lower name of a pair dials, so that
            the two don't connect to each other at once.
        """
        startup = self._startup
        nodes = [vm for vm in self._upstreams.list_vms() if vm.role == 'node']
        chosen = choose_peers(startup.name, startup.zone, nodes)
        targets = [
            (vm.address, vm.name)
            for vm in chosen
            if vm.name not in self.peers and (late or startup.name < vm.name)
        ]
        if not nodes:
            # Without the platform's list, for example in an outage at the
            # start, the first peers are found by the addresses in the start-up
            # settings.
            targets = [
                (f'{seed.host}:{seed.port}', '')
                for seed in startup.seeds
                if seed != startup.peers
            ]
        return targets

    async def _dial(self, address: str, name: str) -> None:
        host, _, port = address.rpartition(':')
        try:
            async with asyncio.timeout(DIAL_SECONDS):
                reader, writer = await asyncio.open_connection(
                    host, int(port), ssl=make_client_tls(self._startup.tls)
                )
        except (OSError, TimeoutError):
            return
        await self._run_connection(reader, writer, join_peer)

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._spawn(self._run_connection(reader, writer, accept_peer))

    async def _run_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handshake: Callable[
            ..., Awaitable[tuple[str, str, frames.FrameReader]]
        ],
    ) -> None:
        try:
            async with asyncio.timeout(PEER_TIMEOUT_SECONDS):
                name, zone, frame_reader = await handshake(
                    reader, writer, self._startup
                )
        except (HandshakeError, frames.PeerFrameError) as error:
            self._timeline.record(catalogue.PEER_REFUSED, reason=error)
            writer.transport.abort()
            return
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            writer.transport.abort()
            return
        peer = Peer(name, zone, writer, frame_reader)
        await self._serve(peer, reader)

    async def _serve(self, peer: Peer, reader: asyncio.StreamReader) -> None:
        self.peers[peer.name] = peer
        self._timeline.record(catalogue.PEER_UP, peer=peer.name)
        self._send_heartbeats()
        reason = 'closed'
        try:
            while chunk := await self._read(reader):
                for frame in peer.reader.feed(chunk):
                    self._handle_frame(peer, frame)
        except TimeoutError:
            reason = 'silent'
        except (OSError, frames.PeerFrameError) as error:
            reason = type(error).__name__
        finally:
            peer.writer.transport.abort()
            if self.peers.get(peer.name) is peer:
                self._remove_peer(peer, reason)

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        async with asyncio.timeout(PEER_TIMEOUT_SECONDS):
            return await reader.read(_READ_BYTES)

    def _remove_peer(self, peer: Peer, reason: str) -> None:
        del self.peers[peer.name]
        self._timeline.record(
            catalogue.PEER_DOWN, peer=peer.name, reason=reason
        )
        self._admission.drop_peer(peer.name)

    def _handle_frame(self, peer: Peer, frame: frames.Frame) -> None:
        match frame:
            case frames.Heartbeat():
                self._apply_heartbeat(peer, frame)
            case frames.RevisionOffer(index):
                self._request_parts(peer, index)
            case frames.PartsRequest(digests):
                held = self._holder.bundle.blobs
                peer.send(
                    frames.PartsReply(
                        {
                            digest: held[digest]
                            for digest in digests
                            if digest in held
                        }
                    )
                )
            case frames.PartsReply(blobs):
                self._apply_parts(peer, blobs)
            case frames.Delta():
                if frame.base == self._holder.revision:
                    merged = merge_delta(self._holder.bundle, frame)
                    self._holder.apply(merged, peer.name)
            case frames.VmList(vms):
                if not self.should_watch():
                    self._spawn(
                        self._upstreams.apply_vm_list(vms, settled=True)
                    )

    def _apply_heartbeat(self, peer: Peer, heartbeat: frames.Heartbeat) -> None:
        self._timeline.clock.observe(Stamp(heartbeat.wall, heartbeat.tick))
        peer.revision = heartbeat.revision
        peer.draining = heartbeat.draining
        self._upstreams.apply_peer(peer.name, heartbeat.leaving)
        if heartbeat.draining:
            self._admission.drop_peer(peer.name)
        else:
            self._admission.apply_peer(peer.name, heartbeat.demands)
        self._offer_settings(peer)

    def _request_parts(self, peer: Peer, index: Index) -> None:
        if index.revision <= self._holder.revision:
            return
        peer.index = index
        held = self._holder.bundle.blobs
        missing = set(index.parts.values()) - held.keys()
        peer.send(frames.PartsRequest(tuple(sorted(missing))))

    def _apply_parts(self, peer: Peer, blobs: dict[str, bytes]) -> None:
        if peer.index is None:
            return
        known = dict(self._holder.bundle.blobs) | blobs
        wanted = {
            digest: known[digest]
            for digest in peer.index.parts.values()
            if digest in known
        }
        self._holder.apply(Bundle(peer.index, wanted), peer.name)
        peer.index = None


def setup(app: App) -> None:
    """Add the service ``peers``."""
    peers = Peers(app, app.find('startup', Startup))
    app.add(
        Service(
            'peers',
            peers,
            ('admission', 'settings', 'upstreams'),
            start=peers.start,
            stop=peers.stop,
        )
    )
