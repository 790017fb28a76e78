"""The one timer that runs for a connection."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(eq=False)
class ConnectionTimer:
    """Calls a function unless it is cancelled or started again before."""

    loop: asyncio.AbstractEventLoop
    _handle: asyncio.TimerHandle | None = None

    def start(self, seconds: float, on_expiry: Callable[[], None]) -> None:
        """Start it, in place of one that is running."""
        self.cancel()
        self._handle = self.loop.call_later(seconds, on_expiry)

    def cancel(self) -> None:
        """Stop it."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
