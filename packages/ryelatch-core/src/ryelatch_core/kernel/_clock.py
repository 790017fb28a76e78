"""Clocks, which tests can replace."""

import time
from typing import Protocol


class Clock(Protocol):
    """A source of time, passed as an argument to code that depends on it."""

    def wall(self) -> float:
        """Seconds since the epoch, comparable between processes."""

    def monotonic(self) -> float:
        """Seconds that never decrease, valid in this process only."""


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

    The monotonic clock stops during a suspension, so state from before it
    would be taken for fresh if its age were measured by that clock.
    """

    def monotonic(self) -> float:
        """Seconds since the machine started, including suspensions."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
