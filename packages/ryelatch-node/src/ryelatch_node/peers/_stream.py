"""An open stream to a peer."""

import asyncio
from dataclasses import dataclass, field

from ryelatch_core.membership import Vm
from ryelatch_core.settings import Index
from ryelatch_node.peers import _frames as frames

_OUTBOX_BYTES = 4 * frames.MAX_STREAM_BYTES


@dataclass
class Peer:
    """A connected peer: its last reported state and the stream to it.

    :param revision: revision of the settings that the peer has in force.
    :param draining: whether the peer is shutting down.
    :param index: index of an offered revision whose parts were requested.
    :param vms: VMs that were last sent to the peer.
    """

    name: str
    zone: str
    writer: asyncio.StreamWriter
    reader: frames.FrameReader
    revision: int = 0
    draining: bool = False
    index: Index | None = None
    vms: tuple[Vm, ...] = field(default_factory=tuple)

    def send(self, frame: frames.Frame) -> None:
        """Queue a frame.

        With a peer that stops reading, the write buffer would grow until
        this node runs out of memory. So its stream is aborted beyond a
        limit, and then dialled again.
        """
        transport = self.writer.transport
        if transport.get_write_buffer_size() > _OUTBOX_BYTES:
            transport.abort()
        elif not transport.is_closing():
            self.writer.write(frames.encode_frame(frame))
