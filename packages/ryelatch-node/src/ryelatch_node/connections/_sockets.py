"""What the system knows of a connection, and how it ends it."""

import array
import asyncio
import contextlib
import fcntl
import select
import socket
import struct
import termios

from aiohttp.client_proto import ResponseHandler

_NO_LINGER = struct.pack('ii', 1, 0)
"""Value of ``SO_LINGER`` with which a close resets the connection."""

_ORDERLY = struct.pack('ii', 0, 0)
"""Value of ``SO_LINGER`` with which a close ends the connection in order."""


def discard_unconfirmed(transport: asyncio.BaseTransport) -> bool:
    """Let the system discard what the other side has not confirmed yet.

    It would deliver that before the close, seconds later if a link was cut
    meanwhile: a request that was given up would still reach its upstream.

    :returns: whether there is any; then the connection has to be aborted.
    """
    sock = transport.get_extra_info('socket')
    if transport.is_closing() or not _count_unconfirmed(sock):
        return False
    set_reset_at_close(transport, resets=True)
    return True


def set_reset_at_close(
    transport: asyncio.BaseTransport, *, resets: bool
) -> None:
    """Let the end of a connection be a reset, or an orderly end again.

    The system acts on it also when it ends this process.
    """
    if transport.is_closing():
        # The number of its socket may be that of another one soon.
        return
    sock = transport.get_extra_info('socket')
    linger = _NO_LINGER if resets else _ORDERLY
    # The other side may have reset the connection already.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def _count_unconfirmed(sock: socket.socket) -> int:
    """Count the bytes that a system holds for the other side."""
    count = array.array('i', (0,))
    fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, count)
    return count[0]


def has_ended(transport: asyncio.BaseTransport) -> bool:
    """Whether the other side of a connection has closed or reset it.

    A busy process reads that end only after what has arrived before it.
    """
    if transport.is_closing():
        return True
    poll = select.poll()
    poll.register(transport.get_extra_info('socket'), select.POLLRDHUP)
    return bool(poll.poll(0))


def has_arrived(handler: ResponseHandler) -> bool:
    """Whether anything that was not read yet has arrived on a connection.

    On one without a request that is its end, or an answer that nobody waits
    for. A busy process finds out only after it has sent the next request.
    """
    transport = handler.transport
    if transport is None:
        return True
    poll = select.poll()
    poll.register(transport.get_extra_info('socket'), select.POLLIN)
    return bool(poll.poll(0))
