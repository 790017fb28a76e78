"""Simulated connections between nodes, in virtual time."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

LINK_SECONDS = 0.001


class _Transport:
    def __init__(self, *ends: asyncio.StreamReader) -> None:
        self._ends = ends

    def abort(self) -> None:
        """Signal the end of the stream in both directions."""
        for end in self._ends:
            end.feed_eof()


class _Writer:
    """The writer of one direction of a connection.

    :param carries: returns whether the link transmits data at the moment;
        data written meanwhile is lost.
    """

    def __init__(
        self,
        near: asyncio.StreamReader,
        far: asyncio.StreamReader,
        carries: Callable[[], bool],
    ) -> None:
        self.transport = _Transport(near, far)
        self._far = far
        self._carries = carries
        self._in_transit: deque[bytes] = deque()

    def write(self, data: bytes) -> None:
        """Deliver the data after the link's delay, if the link transmits."""
        loop = asyncio.get_running_loop()
        if self._carries():
            self._in_transit.append(data)
            loop.call_later(LINK_SECONDS, self._deliver)

    async def drain(self) -> None:
        """Return at once, as there is no flow control."""

    def _deliver(self) -> None:
        # Callbacks of the same time run in any order, but data does not
        # overtake other data.
        data = self._in_transit.popleft()
        # The connection may have been closed while the data was in transit.
        if not self._far._eof:  # type: ignore[attr-defined]
            self._far.feed_data(data)


def open_pair(
    carries: Callable[[], bool],
) -> tuple[tuple[Any, Any], tuple[Any, Any]]:
    """Create a connection.

    :param carries: returns whether the link transmits data at the moment.
    :returns: both ends, each as a reader and a writer.
    """
    near, far = asyncio.StreamReader(), asyncio.StreamReader()
    return (
        (near, _Writer(near, far, carries)),
        (far, _Writer(far, near, carries)),
    )
