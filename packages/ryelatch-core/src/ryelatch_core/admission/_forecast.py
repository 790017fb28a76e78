"""Predicts when waiting requests get a place."""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ryelatch_core.admission._rates import EventRate

RATE_SECONDS = 1.0
"""Averaging time of the rates at which places are freed and granted."""

MIN_RATE = 0.5
"""Lower bound of the expected places per second, so that waits are finite."""

LEARNING_SECONDS = 0.2
"""Time after which the rate of a new controller says something."""


def _make_rate() -> EventRate:
    return EventRate(RATE_SECONDS)


@dataclass(eq=False)
class PlaceForecast:
    """Rates at which places are freed, and granted by priority."""

    _freed: EventRate = field(default_factory=_make_rate)
    _began: float | None = None
    _granted: defaultdict[int, EventRate] = field(
        default_factory=lambda: defaultdict(_make_rate)
    )

    def record_freed(self, now: float) -> None:
        """Record that a place was freed."""
        self._observe(now)
        self._freed.record(now)

    def record_grant(self, priority: int, now: float) -> None:
        """Record that a request got a place."""
        self._granted[priority].record(now)

    def read_rate(self, now: float) -> float:
        """Return how many places are freed per second.

        A node that takes over the control of a zone has seen none freed yet;
        it lets requests wait rather than refuse all of them.
        """
        age = self._observe(now)
        if age < LEARNING_SECONDS:
            return math.inf
        return self._freed.read(now) / -math.expm1(-age / RATE_SECONDS)

    def build_prediction(
        self, priorities: Iterable[int], freed: float, now: float
    ) -> Callable[[int, int], float]:
        """Build a function of priority and position that predicts waits.

        More urgent requests that are yet to come take their places first, as
        many as they took of late.

        :param priorities: those of the waiting requests.
        :param freed: expected places per second.
        """
        granted = {
            priority: rate.read(now) for priority, rate in self._granted.items()
        }
        rates = {
            priority: freed
            - sum(rate for rank, rate in granted.items() if rank < priority)
            for priority in priorities
        }

        def predict(priority: int, position: int) -> float:
            return position / max(MIN_RATE, rates[priority])

        return predict

    def _observe(self, now: float) -> float:
        """Return for how many seconds places have been observed."""
        if self._began is None:
            self._began = now
        return now - self._began
