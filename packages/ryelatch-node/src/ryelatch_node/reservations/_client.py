"""Asks the controllers of zones for places, and keeps what they granted."""

import asyncio
import itertools
from collections import defaultdict
from dataclasses import dataclass, field

from ryelatch_core.admission import ReservationRequest, rank_controllers
from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.kernel import Clock
from ryelatch_core.membership import NodeEntry
from ryelatch_node.peer_sync import (
    REQUEST_ERRORS,
    PeerBackoffs,
    PeerSync,
    connect_to_peer,
)
from ryelatch_node.reservations._channel import (
    Channel,
    open_local_channel,
    open_remote_channel,
)
from ryelatch_node.reservations._controllers import ZoneControllers, ZoneKey
from ryelatch_node.reservations._frames import (
    AnyFrame,
    AnyReply,
    Begin,
    BusyReply,
    Enqueue,
    GrantReply,
    Place,
    QueueReply,
    RefusalReply,
    Release,
    Reserve,
    Shortage,
    make_terms,
)
from ryelatch_node.reservations._heartbeats import HEARTBEAT_SECONDS
from ryelatch_node.reservations._held_places import (
    HeldPlace,
    awaits_reply,
    holds_places,
)
from ryelatch_node.reservations._load import FleetLoad
from ryelatch_node.reservations._pending_replies import (
    REPLY_SECONDS,
    PendingReply,
    make_pending_reply,
)
from ryelatch_node.tasks import Tasks

MAX_CONTROLLERS = 3
"""Nodes of a zone that may control it, in order of preference.

Later ones are needed as VMs that were removed permanently stay in the list of
nodes.
"""


@dataclass(eq=False)
class ReservationClient:
    """Asks the controllers of zones for places.

    Places that this node holds are reported to the next controller of their
    zone if the present one is lost.

    :param name: name of this node.
    :param load: what the controllers reported of the load of all nodes.
    """

    name: str
    log: LineLog
    clock: Clock
    peer_sync: PeerSync
    controllers: ZoneControllers
    load: FleetLoad
    tasks: Tasks
    _numbers: 'itertools.count[int]' = field(default_factory=itertools.count)
    _held: dict[str, HeldPlace] = field(default_factory=dict)
    _pending: dict[int, PendingReply] = field(default_factory=dict)
    _channels: dict[ZoneKey, Channel] = field(default_factory=dict)
    _locks: dict[ZoneKey, asyncio.Lock] = field(
        default_factory=lambda: defaultdict(asyncio.Lock)
    )
    _ranked: dict[ZoneKey, list[NodeEntry]] = field(default_factory=dict)
    _ranked_nodes: tuple[NodeEntry, ...] = ()
    _backoffs: PeerBackoffs = field(init=False)

    def __post_init__(self) -> None:
        """Create the backoffs of controllers that did not reply."""
        self._backoffs = PeerBackoffs(self.clock)

    async def stop(self) -> None:
        """Close all channels."""
        for channel in tuple(self._channels.values()):
            await channel.close()
        self._channels.clear()

    async def reserve(
        self,
        key: ZoneKey,
        request: ReservationRequest,
        path: tuple[str, ...],
    ) -> GrantReply | BusyReply | None:
        """Ask for room on a path at once.

        :param path: names of the replicas, in order.
        :returns: ``None`` if no controller replies.
        """
        held = self._hold(key, request)
        terms = make_terms(request, self.clock.monotonic())
        reply = await self._ask(held, Reserve(held.number, terms, path))
        match reply:
            case GrantReply():
                held.path = path
                return reply
            case BusyReply():
                self._held.pop(request.identity, None)
                return reply
        return None

    async def enqueue(
        self, key: ZoneKey, request: ReservationRequest
    ) -> GrantReply | RefusalReply | None:
        """Ask for a place, and wait for it.

        :returns: ``None`` if no controller replies.
        """
        held = self._hold(key, request)
        terms = make_terms(request, self.clock.monotonic())
        reply = await self._ask(held, Enqueue(held.number, terms))
        if isinstance(reply, GrantReply):
            return reply
        if isinstance(reply, RefusalReply):
            self._held.pop(request.identity, None)
            return reply
        return None

    def holds(self, identity: str) -> bool:
        """Whether this node holds a place for a request."""
        return identity in self._held

    def place(self, identity: str, zone: str, path: tuple[str, ...]) -> None:
        """Report the path on which a request was sent, or moved to.

        Does nothing for a request that needs no place. One that was sent
        without asking a controller, as none replied, is reported as well.

        :param zone: the availability zone of the path.
        :param path: names of the replicas, in order.
        """
        held = self._held.get(identity)
        if held is None or held.path == path:
            return
        if held.key.zone != zone:
            self._tell(held.key, Release(held.number))
            held.key = held.key._replace(zone=zone)
            held.channel = None
        held.path = path
        channel = self._channels.get(held.key)
        if channel is not None and held.channel is channel:
            channel.send(Place(held.number, path))
        elif channel is not None:
            held.restore(channel, self.clock.monotonic())

    def record_delay(
        self, identity: str, seconds: float, *, begun: bool
    ) -> None:
        """Report how long a request took to its first event.

        :param seconds: from when it was sent.
        :param begun: whether the event has arrived; if not, this is how long
            the request has waited so far.
        """
        held = self._held.get(identity)
        if held is not None:
            self._tell(held.key, Begin(held.number, seconds, begun))

    def release(self, identity: str) -> None:
        """Report that a request has ended or no longer waits."""
        held = self._held.pop(identity, None)
        if held is not None:
            self._tell(held.key, Release(held.number))

    def record_shortage(self, key: ZoneKey, replica: str) -> None:
        """Report that a replica refused a request for lack of memory."""
        self._tell(key, Shortage(replica))

    def _hold(self, key: ZoneKey, request: ReservationRequest) -> HeldPlace:
        """Begin to ask for a place, in place of an earlier one."""
        self.release(request.identity)
        held = HeldPlace(next(self._numbers), key, request)
        self._held[request.identity] = held
        return held

    async def _ask(self, held: HeldPlace, frame: AnyFrame) -> AnyReply | None:
        channel = await self._open_channel(held.key)
        if channel is None:
            return None
        pending = make_pending_reply(held.request.start_by)
        self._pending[held.number] = pending
        held.channel = channel
        try:
            channel.send(frame)
            await pending.wait()
        finally:
            self._pending.pop(held.number, None)
        if not pending.reply.done():
            self._abandon(held.key, channel, 'no reply')
            return None
        reply = pending.reply.result()
        if reply is not None:
            self._backoffs.end(channel.address)
        return reply

    def _receive(self, key: ZoneKey, message: AnyReply) -> None:
        """Handle a message of a controller."""
        if isinstance(message, GrantReply):
            self.load.record(key, message.load, self.load.count_waiting(key))
        elif isinstance(message, BusyReply):
            self.load.record(key, message.load, message.waiting)
        pending = self._pending.get(message.number)
        if pending is None or pending.reply.done():
            # The request ended meanwhile, and its place was released.
            return
        if isinstance(message, QueueReply):
            pending.extend(self.clock.monotonic())
        else:
            pending.reply.set_result(message)

    async def _open_channel(self, key: ZoneKey) -> Channel | None:
        """Find the channel to the controller of a zone, or open one."""
        channel = self._channels.get(key)
        if channel is None:
            async with self._locks[key]:
                return await self._choose(key)
        preferred = next(iter(self._list_controllers(key)), None)
        if (
            preferred is not None
            and _get_address(preferred, self.name) != channel.address
            and not self._locks[key].locked()
        ):
            self.tasks.spawn(self._move(key))
        return channel

    async def _choose(self, key: ZoneKey) -> Channel | None:
        """Open a channel to the first controller that can be reached.

        If it is the present one, its channel stays in use.
        """
        for node in self._list_controllers(key):
            present = self._channels.get(key)
            if present and present.address == _get_address(node, self.name):
                return present
            channel = await self._connect(key, node)
            if channel is not None:
                self._channels[key] = channel
                self._restore_all(key, channel)
                return channel
        return self._channels.get(key)

    async def _move(self, key: ZoneKey) -> None:
        """Return to the preferred controller, as all other nodes do.

        Requests that wait at the earlier one get its decision.
        """
        async with self._locks[key]:
            earlier = self._channels.get(key)
            channel = await self._choose(key)
        if earlier is None or channel is earlier:
            return
        try:
            while awaits_reply(earlier, self._held.values(), self._pending):
                await asyncio.sleep(REPLY_SECONDS)
        finally:
            await earlier.close()

    async def _connect(self, key: ZoneKey, node: NodeEntry) -> Channel | None:
        if node.name == self.name:
            return open_local_channel(
                self.controllers, key, lambda reply: self._receive(key, reply)
            )
        try:
            async with asyncio.timeout(REPLY_SECONDS):
                connection = await connect_to_peer(
                    self.peer_sync.dial, node.address
                )
        except REQUEST_ERRORS as error:
            self._record_lost(key, node.address, type(error).__name__)
            return None
        return open_remote_channel(
            connection,
            key,
            lambda reply: self._receive(key, reply),
            lambda: self._handle_end(key, node.address),
            lambda: holds_places(self._held.values(), key),
        )

    def _list_controllers(self, key: ZoneKey) -> list[NodeEntry]:
        """List the nodes that may control a zone and are not in backoff."""
        if self._ranked_nodes is not self.peer_sync.nodes:
            self._ranked_nodes = self.peer_sync.nodes
            self._ranked.clear()
        if key not in self._ranked:
            ranked = rank_controllers(key.service, key.zone, self._ranked_nodes)
            self._ranked[key] = ranked[:MAX_CONTROLLERS]
        return [
            node
            for node in self._ranked[key]
            if not self._backoffs.is_active(node.address)
        ]

    def _restore_all(self, key: ZoneKey, channel: Channel) -> None:
        """Report the requests in progress to a new controller."""
        for held in self._held.values():
            if held.key == key and held.path:
                held.restore(channel, self.clock.monotonic())

    def _tell(self, key: ZoneKey, frame: AnyFrame) -> None:
        """Send a message without a reply; lost if there is no channel."""
        channel = self._channels.get(key)
        if channel is not None:
            channel.send(frame)

    def _handle_end(self, key: ZoneKey, address: str) -> None:
        """Handle a connection that the controller ended, or that broke."""
        channel = self._channels.get(key)
        if channel is not None and channel.address == address:
            del self._channels[key]
            self._fail_pending(key)
            self._record_lost(key, address, 'connection lost')
            self.tasks.spawn(self._report_soon(key))

    async def _report_soon(self, key: ZoneKey) -> None:
        """Report the places to the next controller, however few requests come.

        A node that was silent has lost them at a controller that goes on.
        """
        await asyncio.sleep(HEARTBEAT_SECONDS)
        if holds_places(self._held.values(), key):
            await self._open_channel(key)

    def _abandon(self, key: ZoneKey, channel: Channel, reason: str) -> None:
        """Leave a controller that doesn't reply."""
        if self._channels.get(key) is channel:
            del self._channels[key]
            self._fail_pending(key)
            self._record_lost(key, channel.address, reason)
            self.tasks.spawn(channel.close())

    def _fail_pending(self, key: ZoneKey) -> None:
        for held in self._held.values():
            pending = self._pending.get(held.number)
            if held.key == key and pending and not pending.reply.done():
                pending.reply.set_result(None)

    def _record_lost(self, key: ZoneKey, address: str, reason: str) -> None:
        seconds = self._backoffs.begin(address)
        self.log.record(
            catalogue.CONTROLLER_LOST,
            service=key.service,
            zone=key.zone,
            peer=address,
            reason=reason,
            seconds=seconds,
        )


def _get_address(node: NodeEntry, own_name: str) -> str:
    """Return the address that a channel to a node has.

    :param own_name: name of this node, which needs no connection to itself.
    """
    return '' if node.name == own_name else node.address
