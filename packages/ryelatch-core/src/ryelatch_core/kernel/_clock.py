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


class BootClock(SystemClock):
    """The clock of a machine that may be suspended.

    The monotonic clock stands still meanwhile. Whoever measures by it how
    old a belief is takes a belief from before a suspension for a fresh one.
    """

    def monotonic(self) -> float:
        """Seconds since the machine started, with those suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
