"""Connections of senders that have not shown yet that they are peers."""

import asyncio
import contextlib
from collections.abc import Iterator

FIRST_FRAME_SECONDS = 5.0
"""Time for the first frame, which peers send as they connect."""

MAX_NEWCOMERS = 256
"""Connections that may wait for their first frame; they take descriptors."""

NEWCOMERS_FRACTION = 0.1
"""The same as a part of the process' descriptors, if these are few."""


class Newcomers:
    """Connections whose first frame hasn't arrived.

    :param limit: how many there may be.
    """

    def __init__(self, limit: int = MAX_NEWCOMERS) -> None:
        self.limit = limit
        self._waiting: dict[asyncio.StreamWriter, None] = {}

    def set_descriptors(self, count: int) -> None:
        """Set how many descriptors the process may open."""
        self.limit = min(MAX_NEWCOMERS, int(count * NEWCOMERS_FRACTION))

    @contextlib.contextmanager
    def admit(self, writer: asyncio.StreamWriter) -> Iterator[None]:
        """Count a connection while the block waits for its first frame.

        If there are too many, the one that has waited for longest is closed.
        """
        while len(self._waiting) >= self.limit:
            oldest = next(iter(self._waiting))
            del self._waiting[oldest]
            oldest.transport.abort()
        self._waiting[writer] = None
        try:
            yield
        finally:
            self._waiting.pop(writer, None)
