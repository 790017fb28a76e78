"""An open stream to another node."""

import asyncio
from dataclasses import dataclass, field

from ryelatch_core.membership import Vm
from ryelatch_core.settings import Index
from ryelatch_node.peers import _frames as frames

_OUTBOX_BYTES = 4 * frames.MAX_STREAM_BYTES


@dataclass
class Peer:
    """What is known of a node by its stream, and the way to tell it more.

    :param revision: of the settings that it has.
    :param index: of settings whose parts it is to send.
    :param vms: that it was told of last.
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

        A peer that reads nothing would let the outbox grow until this node
        has no memory left; its stream is cut instead, and dialled again.
        """
        transport = self.writer.transport
        if transport.get_write_buffer_size() > _OUTBOX_BYTES:
            transport.abort()
        elif not transport.is_closing():
            self.writer.write(frames.encode_frame(frame))
