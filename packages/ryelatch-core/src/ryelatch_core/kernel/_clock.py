"""Time, replaceable in tests."""

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time; decisions get it as an argument."""

    def wall(self) -> float:
        """Seconds since the epoch, comparable between processes."""

    def monotonic(self) -> float:
        """Seconds that never go back, of this process only."""


class SystemClock:
    """The clock of the machine."""

    def wall(self) -> float:
        """Seconds since the epoch."""
        return time.time()

    def monotonic(self) -> float:
        """Seconds of the machine's monotonic clock."""
        return time.monotonic()
