"""Estimates the current rate of events."""

import math
from dataclasses import dataclass


@dataclass(slots=True)
class EventRate:
    """Rate of events, averaged exponentially.

    :param seconds: averaging time.
    """

    seconds: float
    _rate: float = 0
    _updated: float = 0

    def record(self, now: float) -> None:
        """Record an event.

        :param now: monotonic seconds.
        """
        self._rate = self.read(now) + 1 / self.seconds
        self._updated = now

    def read(self, now: float) -> float:
        """Return the rate in events per second."""
        return self._rate * math.exp((self._updated - now) / self.seconds)
