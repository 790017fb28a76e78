"""When the list of replicas was last confirmed as current."""

from dataclasses import dataclass

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.kernel import Clock
from ryelatch_core.membership import DepartureBounds

UNKNOWN_AGE_SECONDS = 1e9
"""Age reported when nothing was ever confirmed, as JSON has no infinity."""

_DIGITS = 3


@dataclass(eq=False)
class Freshness:
    """When the list of replicas was last current, and its maximum age.

    :param bounds: time bounds on requests to replicas that have left.
    :param at: monotonic seconds at which the list was last confirmed to
        hold every change.
    """

    log: LineLog
    clock: Clock
    bounds: DepartureBounds
    at: float = float('-inf')
    _fresh: bool = True

    @property
    def age(self) -> float:
        """Seconds since the list was last confirmed as current."""
        return min(self.clock.monotonic() - self.at, UNKNOWN_AGE_SECONDS)

    @property
    def left(self) -> float:
        """Seconds until the list exceeds its maximum age."""
        return self.bounds.max_age - self.age

    def confirm(self, confirmed_at: float) -> None:
        """Record that the list held every change made up to a time.

        :param confirmed_at: monotonic seconds.
        """
        self.at = max(self.at, confirmed_at)

    def check(self) -> None:
        """Log when the list becomes too old, and when it is current again."""
        fresh = self.left >= 0
        if fresh != self._fresh:
            self._fresh = fresh
            self.log.record(
                catalogue.REGISTRY_FRESH if fresh else catalogue.REGISTRY_STALE,
                list_age=self.round_age(),
                max_age=self.bounds.max_age,
            )

    def round_age(self) -> float:
        """Round the age for a log line."""
        return round(self.age, _DIGITS)
