"""Bounds what the connections of all peers hold of incomplete frames.

One frame has a bound, but hundreds of connections may each send the beginning
of a long one, and then nothing or a byte now and then.
"""

import asyncio
from dataclasses import dataclass, field

from ryelatch_node.peer_sync._frames import read_length

SHORT_FRAME_BYTES = 4096
"""Length up to which frames don't count; most are shorter."""

MAX_INCOMPLETE_BYTES = 16_777_216
"""Length of all longer frames that are being read at a time."""

FRAME_SECONDS = 8.0
"""Time in which a longer frame has to arrive, its wait for room included.

The longest one takes 5 s on the slowest links.
"""


@dataclass(eq=False)
class IncomingFrames:
    """Reads the frames of all connections of peers.

    :param incomplete: length of the longer frames that are being read.
    """

    incomplete: int = 0
    _room: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def read_body(self, reader: asyncio.StreamReader) -> bytes:
        """Read the body of a frame, once there is room for it.

        :raises ValueError: if the frame is longer than allowed.
        :raises EOFError: if the stream ends.
        :raises TimeoutError: if a longer frame doesn't arrive in time.
        """
        length = await read_length(reader)
        if length <= SHORT_FRAME_BYTES:
            return await reader.readexactly(length)
        async with asyncio.timeout(FRAME_SECONDS):
            await self._reserve(length)
            try:
                return await reader.readexactly(length)
            finally:
                await self._release(length)

    async def _reserve(self, length: int) -> None:
        async with self._room:
            await self._room.wait_for(
                lambda: self.incomplete + length <= MAX_INCOMPLETE_BYTES
            )
            self.incomplete += length

    async def _release(self, length: int) -> None:
        self.incomplete -= length
        async with self._room:
            self._room.notify_all()
