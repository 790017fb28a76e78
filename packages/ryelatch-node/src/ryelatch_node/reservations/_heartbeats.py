"""Tells nodes that are silent for a moment from nodes that are lost."""

import asyncio
import math
from collections.abc import Callable

from ryelatch_core.kernel import Clock, ran_late
from ryelatch_node.peer_sync import encode, read_body
from ryelatch_node.reservations._frames import HEARTBEAT

HEARTBEAT_SECONDS = 1.0
"""Longest time between two messages to a controller while places are held."""

MISSED_HEARTBEATS = 4
"""Heartbeats of a node that fail to come before it counts as lost.

A node that stands still for two seconds keeps its places.
"""


async def send_heartbeats(
    writer: asyncio.StreamWriter, holds_places: Callable[[], bool]
) -> None:
    """Send heartbeats until cancelled.

    :param holds_places: whether they are needed now.
    """
    while True:
        await asyncio.sleep(HEARTBEAT_SECONDS)
        if holds_places():
            writer.write(encode(HEARTBEAT))


async def read_message(
    clock: Clock,
    reader: asyncio.StreamReader,
    heartbeat: float,
    holds_places: Callable[[], bool],
) -> bytes:
    """Read the body of a node's next message.

    :param heartbeat: longest time between two messages that the node has
        promised, in seconds; 0 if it promised none.
    :param holds_places: whether the node holds any place.
    :raises TimeoutError: if the node holds places and is lost.
    """
    reading = asyncio.create_task(read_body(reader))
    seconds = heartbeat * MISSED_HEARTBEATS or None
    try:
        while not reading.done():
            overdue = await _is_overdue(clock, reading, seconds)
            if overdue and holds_places():
                raise TimeoutError
        return await reading
    finally:
        reading.cancel()


async def _is_overdue(
    clock: Clock, reading: 'asyncio.Task[bytes]', seconds: float | None
) -> bool:
    """Wait for a message; returns whether it is overdue.

    If this process ran late, the message may have arrived unread.

    :param seconds: for which to wait; ``None`` to wait until it arrives.
    """
    due = clock.monotonic() + (seconds or math.inf)
    await asyncio.wait((reading,), timeout=seconds)
    late = ran_late(due, clock.monotonic())
    return not reading.done() and not late
