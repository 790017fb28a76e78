"""The connections over which requests are forwarded to other nodes."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import msgspec

from ryelatch_core.kernel import App, Clock, Service, ran_late
from ryelatch_core.links import Helper
from ryelatch_node.links import Links
from ryelatch_node.peer_sync import (
    REQUEST_ERRORS,
    ForwardAlive,
    ForwardPiece,
    ForwardRefused,
    ForwardReply,
    ForwardRequest,
    ForwardStart,
    PeerConnection,
    PeerSync,
    encode,
    read_body,
)

CONFIRM_SECONDS = 0.3
"""Longest wait for the first message of a node, which sends one at once."""

SILENCE_SECONDS = 0.9
"""Longest time without a message of a node that serves a request.

It sends one every ``ALIVE_SECONDS``, so three are missing.
"""

ALIVE_SECONDS = 0.3
"""Interval of messages about a request that is in progress."""

IDLE_SECONDS = 4.0
"""Time for which a connection without a request is kept."""


def _may_always_leave() -> bool:
    return True


class HelperLost(Exception):
    """The node that a request was forwarded to can't be reached any more.

    :param sent: whether it may have received the request.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.sent = sent


@dataclass(eq=False)
class ForwardedAnswer:
    """The answer to a forwarded request, as it arrives.

    :param patient: whether to wait however long the node is silent, as the
        request can't be sent to another one.
    :param may_leave: whether another node may be tried now. If not, a silent
        one may still be the only one that can answer.
    :param complete: whether all of it has arrived.
    :param head: its status and headers, once they have arrived.
    :param ran: runs at the node that count against the attempts of the route,
        as far as it has told. It may have begun one more.
    """

    connection: PeerConnection
    clock: Clock
    patient: bool
    may_leave: Callable[[], bool] = _may_always_leave
    complete: bool = False
    head: ForwardStart | None = None
    ran: int = 1
    _confirmed: bool = False

    async def read_head(self) -> ForwardStart | ForwardRefused:
        """Read the status and headers, or that the request is refused.

        :raises HelperLost: if the node is lost or sends something else.
        """
        reply = await self._read()
        if isinstance(reply, ForwardPiece):
            raise HelperLost('unexpected message', sent=True)
        if isinstance(reply, ForwardRefused):
            self.complete = True
        else:
            self.head = reply
        return reply

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yield the pieces of the body.

        :raises HelperLost: if the node is lost before the body is complete.
        """
        while not self.complete:
            piece = await self._read()
            if not isinstance(piece, ForwardPiece):
                raise HelperLost('unexpected message', sent=True)
            self.complete = piece.last
            yield piece.content

    async def _read(self) -> ForwardStart | ForwardRefused | ForwardPiece:
        while True:
            reply = await self._read_any()
            self._confirmed = True
            if not isinstance(reply, ForwardAlive):
                return reply
            self.ran = max(1, reply.ran)

    async def _read_any(self) -> ForwardReply:
        try:
            body = await self._read_body()
            return msgspec.msgpack.decode(body, type=ForwardReply)
        except REQUEST_ERRORS as error:
            raise HelperLost(type(error).__name__, sent=True) from error

    async def _read_body(self) -> bytes:
        """Read the body of the next message.

        :raises TimeoutError: if it doesn't come in time.
        """
        reading = asyncio.create_task(read_body(self.connection.reader))
        try:
            while not reading.done():
                await self._wait(reading)
            return await reading
        finally:
            reading.cancel()

    async def _wait(self, reading: 'asyncio.Task[bytes]') -> None:
        """Wait for a message, or until it is overdue.

        If this process was paused, the message may have arrived unread.

        :raises TimeoutError: if it is overdue, this process ran all along, and
            another node may be tried.
        """
        if self.patient:
            await asyncio.wait((reading,))
            return
        seconds = SILENCE_SECONDS if self._confirmed else CONFIRM_SECONDS
        due = self.clock.monotonic() + seconds
        await asyncio.wait((reading,), timeout=seconds)
        late = ran_late(due, self.clock.monotonic())
        if not reading.done() and not late and self.may_leave():
            raise TimeoutError


@dataclass(eq=False)
class ForwardClient:
    """Forwards requests, and keeps connections for the next ones."""

    clock: Clock
    links: Links
    peer_sync: PeerSync
    _idle: dict[str, list[tuple[float, PeerConnection]]] = field(
        default_factory=dict
    )

    async def stop(self) -> None:
        """Close the connections without a request."""
        for kept in self._idle.values():
            for _, connection in kept:
                connection.drop()
        self._idle.clear()

    def close_idle(self) -> None:
        """Close connections that had no request for ``IDLE_SECONDS``."""
        oldest = self.clock.monotonic() - IDLE_SECONDS
        for address, kept in tuple(self._idle.items()):
            for since, connection in kept:
                if since < oldest:
                    connection.drop()
            fresh = [entry for entry in kept if entry[0] >= oldest]
            self._idle[address] = fresh
            if not fresh:
                del self._idle[address]

    @asynccontextmanager
    async def send(
        self,
        helper: Helper,
        request: ForwardRequest,
        *,
        repeatable: bool,
        before_writing: Callable[[], None],
        may_leave: Callable[[], bool] = _may_always_leave,
    ) -> AsyncIterator[ForwardedAnswer]:
        """Forward a request to another node.

        Leaving the block before the answer is complete cancels the request.

        :param repeatable: whether the request may run more than once. If not,
            a connection of its own is used, as it would be unknown whether an
            idle one was closed before or after the request arrived.
        :param before_writing: called once there is a connection. What it
            raises ends the attempt before anything was sent.
        :param may_leave: whether another node may be tried now.
        :raises HelperLost: if the node can't be reached.
        """
        name, address = helper.node.name, helper.node.address
        connection = await self._connect(address, repeatable=repeatable)
        answer = ForwardedAnswer(
            connection, self.clock, not repeatable, may_leave
        )
        busy = self.links.helpers.busy
        busy[name] += 1
        try:
            before_writing()
            connection.writer.write(encode(request))
            yield answer
        finally:
            busy[name] -= 1
            if answer.complete:
                kept = self._idle.setdefault(address, [])
                kept.append((self.clock.monotonic(), connection))
            else:
                connection.drop()

    async def _connect(
        self, address: str, *, repeatable: bool
    ) -> PeerConnection:
        kept = self._idle.get(address, [])
        while kept and repeatable:
            _, connection = kept.pop()
            if not connection.lost:
                return connection
            connection.drop()
        try:
            return await self.peer_sync.connect_as_node(address)
        except OSError as error:
            raise HelperLost(type(error).__name__, sent=False) from error


def setup(app: App) -> None:
    """Add the service ``forwarding``."""
    client = ForwardClient(
        app.clock, app.find('links', Links), app.find('news', PeerSync)
    )
    app.add(Service('forwarding', client, ('links',), stop=client.stop))
