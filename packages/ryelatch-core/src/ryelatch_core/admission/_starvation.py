"""Detects priorities whose requests hardly get any places."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from ryelatch_core.admission._rates import EventRate

MIN_SHARE_FRACTION = 0.33
"""Fraction of the mean share of granted requests below which one goes first.

A priority then gets a quarter of the mean at least: it goes first only after
its share has fallen.
"""

SHARE_SECONDS = 4.0
"""Averaging time of shares: some times the time that a request may wait."""


def _make_rates() -> defaultdict[int, EventRate]:
    return defaultdict(lambda: EventRate(SHARE_SECONDS))


@dataclass(eq=False)
class StarvationTracker:
    """Shares of the requests that were granted, by priority."""

    _granted: defaultdict[int, EventRate] = field(default_factory=_make_rates)
    _refused: defaultdict[int, EventRate] = field(default_factory=_make_rates)

    def record_grant(self, priority: int, now: float) -> None:
        """Record that a request got a place."""
        self._granted[priority].record(now)

    def record_refusal(self, priority: int, now: float) -> None:
        """Record that a request was refused."""
        self._refused[priority].record(now)

    def find_starved(self, priorities: Iterable[int], now: float) -> int | None:
        """Return the most urgent of some priorities that gets too little.

        :returns: the priority; ``None`` if each gets its minimum share.
        """
        granted = sum(rate.read(now) for rate in self._granted.values())
        refused = sum(rate.read(now) for rate in self._refused.values())
        if not refused:
            return None
        min_share = MIN_SHARE_FRACTION * granted / (granted + refused)
        return min(
            (
                priority
                for priority in priorities
                if self._get_share(priority, now) < min_share
            ),
            default=None,
        )

    def _get_share(self, priority: int, now: float) -> float:
        granted = self._granted[priority].read(now)
        refused = self._refused[priority].read(now)
        return granted / (granted + refused) if refused else 1
