"""Connections between nodes, in virtual time."""

import asyncio
from collections.abc import Callable
from typing import Any

LINK_SECONDS = 0.001


class _Transport:
    def __init__(self, *ends: asyncio.StreamReader) -> None:
        self._ends = ends

    def abort(self) -> None:
        """End both directions."""
        for end in self._ends:
            end.feed_eof()


class _Writer:
    """One direction of a connection.

    :param carries: tells whether the link carries anything now.
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

    def write(self, data: bytes) -> None:
        """Deliver a little later, if the link carries anything."""
        loop = asyncio.get_running_loop()
        if self._carries():
            loop.call_later(LINK_SECONDS, self._deliver, data)

    async def drain(self) -> None:
        """Nothing waits."""

    def _deliver(self, data: bytes) -> None:
        # A connection may have been closed while the bytes were on their way.
        if not self._far._eof:  # type: ignore[attr-defined]
            self._far.feed_data(data)


def open_pair(
    carries: Callable[[], bool],
) -> tuple[tuple[Any, Any], tuple[Any, Any]]:
    """Make both ends of a connection, each a reader and a writer."""
    near, far = asyncio.StreamReader(), asyncio.StreamReader()
    return (
        (near, _Writer(near, far, carries)),
        (far, _Writer(far, near, carries)),
    )
