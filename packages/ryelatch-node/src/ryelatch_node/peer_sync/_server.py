"""Serves the requests of peers."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TypeAlias

import msgspec

from ryelatch_core.eras import StoreRevision
from ryelatch_core.events import UsageTracker
from ryelatch_core.kernel import Clock, cancel_task
from ryelatch_core.membership import NEVER
from ryelatch_node.peer_sync._connection import REQUEST_ERRORS
from ryelatch_node.peer_sync._cooldowns import COOLDOWN_SECONDS
from ryelatch_node.peer_sync._frames import (
    BootstrapMessage,
    BootstrapReply,
    JoinReply,
    JoinRequest,
    ListReply,
    ListRequest,
    PermitReply,
    PermitRequest,
    SeenVersionReply,
    SeenVersionRequest,
    SessionRequest,
    WatchReply,
    WatchRequest,
    encode,
)
from ryelatch_node.peer_sync._incoming import IncomingFrames
from ryelatch_node.peer_sync._link_frames import (
    ForwardRequest,
    ReachReply,
    ReachRequest,
)
from ryelatch_node.peer_sync._newcomers import (
    FIRST_FRAME_SECONDS,
    Newcomers,
)
from ryelatch_node.peer_sync._watch_cache import (
    STORE_HEALTHY,
    UNKNOWN_AGE_SECONDS,
    StoreHealth,
    WatchCache,
)

_PlainRequest: TypeAlias = (
    WatchRequest
    | PermitRequest
    | BootstrapMessage
    | JoinRequest
    | ListRequest
    | ReachRequest
    | SeenVersionRequest
)

_AnyRequest: TypeAlias = _PlainRequest | SessionRequest | ForwardRequest

ServeSession: TypeAlias = Callable[
    [SessionRequest, asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[None],
]
"""Function that serves a session until its connection ends."""

ServeForwarded: TypeAlias = Callable[
    [ForwardRequest, asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[None],
]
"""Function that serves a forwarded request to its end.

It raises ``EOFError`` if the connection can't be used for another one.
"""

MAX_WAIT_SECONDS = 30.0
"""Longest wait that a peer may request."""


def _deny_permit(request: PermitRequest) -> PermitReply:
    return PermitReply(False, COOLDOWN_SECONDS, request.limit, request.age)


def _ignore_message(message: BootstrapMessage) -> BootstrapReply:
    return BootstrapReply(knows=True)


async def _know_nobody(_request: JoinRequest, _host: str) -> JoinReply:
    return JoinReply(known=False)


async def _reject_session(
    request: SessionRequest,
    _reader: asyncio.StreamReader,
    _writer: asyncio.StreamWriter,
) -> None:
    raise ValueError(f'no sessions for {request.service} here')


def _know_nothing(_: SeenVersionRequest) -> SeenVersionReply:
    return SeenVersionReply()


async def _reach_nothing(_: ReachRequest) -> ReachReply:
    return ReachReply(())


async def _reject_forwarded(
    _request: ForwardRequest,
    _reader: asyncio.StreamReader,
    _writer: asyncio.StreamWriter,
) -> None:
    raise ValueError('no requests are forwarded here')


def _knows_no_host() -> frozenset[str]:
    return frozenset()


@dataclass(eq=False)
class PeerServer:
    """Serves watches, lists and permits to peers.

    :param caches: objects and recent changes of the store, by kind.
    :param get_store_health: returns the store's availability to this node.
    :param handle_permit_request: grants or denies a permit to a peer.
    :param handle_message: handles the message of a peer that introduces
        itself.
    :param handle_join: gets to know a peer that was just registered.
    :param handle_seen_version_request: tells a peer what this node has seen of
        an object.
    :param serve_session: serves a session of a peer on its connection.
    :param handle_reach_request: tells a peer what this node reaches.
    :param serve_forwarded: serves a request that a peer forwards.
    :param list_hosts: lists the hosts of all nodes. Only they may ask for
        connections to replicas, or forward requests.
    :param last_watched: when a peer last requested a watch that it could have
        sent to the store, in monotonic seconds.
    :param newcomers: connections without a first frame.
    """

    clock: Clock
    usage: UsageTracker
    caches: dict[str, WatchCache]
    get_store_health: Callable[[], StoreHealth] = lambda: STORE_HEALTHY
    handle_permit_request: Callable[[PermitRequest], PermitReply] = _deny_permit
    handle_message: Callable[[BootstrapMessage], BootstrapReply] = (
        _ignore_message
    )
    handle_join: Callable[[JoinRequest, str], Awaitable[JoinReply]] = (
        _know_nobody
    )
    handle_seen_version_request: Callable[
        [SeenVersionRequest], SeenVersionReply
    ] = _know_nothing
    serve_session: ServeSession = _reject_session
    handle_reach_request: Callable[[ReachRequest], Awaitable[ReachReply]] = (
        _reach_nothing
    )
    serve_forwarded: ServeForwarded = _reject_forwarded
    list_hosts: Callable[[], frozenset[str]] = _knows_no_host
    last_watched: float = NEVER
    newcomers: Newcomers = field(default_factory=Newcomers)
    _tasks: set['asyncio.Task[None]'] = field(default_factory=set)
    _incoming: IncomingFrames = field(default_factory=IncomingFrames)

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one peer until it closes the connection."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            with self.newcomers.admit(writer):
                async with asyncio.timeout(FIRST_FRAME_SECONDS):
                    body = await self._incoming.read_body(reader)
            while True:
                await self._serve_request(body, reader, writer)
                body = await self._incoming.read_body(reader)
        except REQUEST_ERRORS:
            # The connection is lost, or the sender is not a peer. A peer
            # retries, or sends its request to the store.
            return
        except asyncio.CancelledError:
            # Only stop() cancels this task. The exception isn't raised again,
            # because asyncio's callback for the task would report it as an
            # unhandled error.
            return
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(OSError):
                writer.transport.abort()

    async def stop(self) -> None:
        """Stop serving all peers."""
        for task in tuple(self._tasks):
            await cancel_task(task)

    async def _serve_request(
        self,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        request = msgspec.msgpack.decode(body, type=_AnyRequest)
        match request:
            case SessionRequest():
                await self.serve_session(request, reader, writer)
                raise EOFError
            case ForwardRequest():
                self._check_sender(writer)
                await self.serve_forwarded(request, reader, writer)
            case _:
                writer.write(await self._make_reply(request, writer))
                await writer.drain()

    async def _make_reply(
        self, request: _PlainRequest, writer: asyncio.StreamWriter
    ) -> bytes:
        """Handle a request that gets one frame in reply."""
        match request:
            case PermitRequest():
                return encode(self.handle_permit_request(request))
            case BootstrapMessage():
                return encode(self.handle_message(request))
            case JoinRequest():
                host = _get_host(writer)
                return encode(await self.handle_join(request, host))
            case ListRequest():
                return encode(self._make_list_reply(request))
            case SeenVersionRequest():
                return encode(self.handle_seen_version_request(request))
            case WatchRequest():
                return await self._serve_watch(request)
            case ReachRequest():
                self._check_sender(writer)
                return encode(await self.handle_reach_request(request))

    def _check_sender(self, writer: asyncio.StreamWriter) -> None:
        """Check that a connection comes from the host of a node.

        :raises ValueError: if it doesn't.
        """
        host = _get_host(writer)
        if host not in self.list_hosts():
            raise ValueError(f'{host} is not the host of a node')

    def _make_list_reply(self, request: ListRequest) -> ListReply:
        cache = self.caches.get(request.kind)
        if cache is None:
            return ListReply(known=False)
        now = self.clock.monotonic()
        reply = cache.make_list_reply(now)
        unanswered = self.get_store_health().unanswered
        if unanswered > NEVER:
            reply = msgspec.structs.replace(reply, unanswered=now - unanswered)
        return reply

    async def _serve_watch(self, request: WatchRequest) -> bytes:
        received = self.clock.monotonic()
        if not request.whole:
            self.last_watched = received
        reply = await self._make_watch_reply(request, received)
        now = self.clock.monotonic()
        health = self.get_store_health()
        if health.unanswered > NEVER:
            reply = msgspec.structs.replace(
                reply, unanswered=now - health.unanswered, out=health.out
            )
        frame = encode(reply)
        if request.kind in self.caches:
            self.usage.count('peers', request.kind, 'answers')
            self.usage.count('peers', request.kind, 'bytes', number=len(frame))
        return frame

    async def _make_watch_reply(
        self, request: WatchRequest, received: float
    ) -> WatchReply:
        """Wait for changes of a kind of object, and reply with them.

        The reply contains no changes if none arrive in the requested time, or
        if this node doesn't watch that kind.
        """
        cache = self.caches.get(request.kind)
        if cache is None:
            return WatchReply(covered=False, age=UNKNOWN_AGE_SECONDS)
        wait_seconds = min(MAX_WAIT_SECONDS, max(0, request.wait))
        since = StoreRevision(request.era, request.since)
        await cache.wait(since, received, wait_seconds)
        now = self.clock.monotonic()
        return cache.make_reply(since, received, now, whole=request.whole)


def _get_host(writer: asyncio.StreamWriter) -> str:
    """Return the host that a connection comes from."""
    host: str = writer.get_extra_info('peername')[0]
    return host
