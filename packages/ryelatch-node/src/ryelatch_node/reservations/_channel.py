"""Ways to reach the controller of a zone: a connection, or this process."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec

from ryelatch_core.kernel import cancel_task
from ryelatch_node.peer_sync import (
    REQUEST_ERRORS,
    PeerConnection,
    SessionRequest,
    encode,
    read_body,
)
from ryelatch_node.reservations._controllers import ZoneControllers, ZoneKey
from ryelatch_node.reservations._frames import AnyFrame, AnyReply
from ryelatch_node.reservations._heartbeats import (
    HEARTBEAT_SECONDS,
    send_heartbeats,
)
from ryelatch_node.reservations._zone import ZoneSession


class Channel(Protocol):
    """Carries messages to the controller of a zone."""

    @property
    def address(self) -> str:
        """``host:port`` of the controller; empty if it is this process."""

    def send(self, frame: AnyFrame) -> None:
        """Send a message; it is lost if the channel is."""

    async def close(self) -> None:
        """Close the channel."""


@dataclass(eq=False)
class LocalChannel:
    """The way to a zone that this node controls itself."""

    controllers: ZoneControllers
    key: ZoneKey
    session: ZoneSession

    @property
    def address(self) -> str:
        """Empty, as no connection is needed."""
        return ''

    def send(self, frame: AnyFrame) -> None:
        """Handle a message at once."""
        self.controllers.find_zone(self.key).handle(self.session, frame)

    async def close(self) -> None:
        """Release all that was reserved over this channel."""
        self.controllers.close(self.key, self.session)


@dataclass(eq=False)
class RemoteChannel:
    """A connection to a zone that another node controls."""

    connection: PeerConnection
    reading: 'asyncio.Task[None]'
    beating: 'asyncio.Task[None]'

    @property
    def address(self) -> str:
        """``host:port`` of the controller."""
        return self.connection.address

    def send(self, frame: AnyFrame) -> None:
        """Send a message; a full buffer is not waited for."""
        self.connection.writer.write(encode(frame))

    async def close(self) -> None:
        """Close the connection at once."""
        self.connection.drop()
        await cancel_task(self.beating)
        await cancel_task(self.reading)


def open_local_channel(
    controllers: ZoneControllers,
    key: ZoneKey,
    receive: Callable[[AnyReply], None],
) -> LocalChannel:
    """Open the way to a zone that this node controls itself.

    :param receive: called with each reply.
    """
    session = controllers.find_zone(key).open(receive)
    return LocalChannel(controllers, key, session)


def open_remote_channel(
    connection: PeerConnection,
    key: ZoneKey,
    receive: Callable[[AnyReply], None],
    end: Callable[[], None],
    holds_places: Callable[[], bool],
) -> RemoteChannel:
    """Open a session with another node.

    :param receive: called with each reply.
    :param end: called when the connection has ended by itself.
    :param holds_places: whether heartbeats are needed now.
    """
    request = SessionRequest(key.service, key.zone, HEARTBEAT_SECONDS)
    connection.writer.write(encode(request))
    reading = asyncio.create_task(_read(connection, receive, end))
    beating = asyncio.create_task(
        send_heartbeats(connection.writer, holds_places)
    )
    reading.add_done_callback(lambda _: beating.cancel())
    return RemoteChannel(connection, reading, beating)


async def _read(
    connection: PeerConnection,
    receive: Callable[[AnyReply], None],
    end: Callable[[], None],
) -> None:
    try:
        while True:
            body = await read_body(connection.reader)
            receive(msgspec.msgpack.decode(body, type=AnyReply))
    except REQUEST_ERRORS:
        # The controller was lost, or it is no controller; end() tells.
        connection.drop()
        end()
