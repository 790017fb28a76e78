"""As of when the list of replicas is known."""

from dataclasses import dataclass

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.kernel import Clock
from ryelatch_core.membership import DepartureBounds

NEVER_SECONDS = 1e9
"""Age written for what was never confirmed; JSON holds no infinity."""

_DIGITS = 3


@dataclass(eq=False)
class Known:
    """The time of a node's knowledge, and how old that may be.

    :param bounds: bounds on requests to replicas that have left.
    :param at: monotonic seconds at which nothing else had changed.
    """

    log: LineLog
    clock: Clock
    bounds: DepartureBounds
    at: float = float('-inf')
    _fresh: bool = True

    @property
    def age(self) -> float:
        """Seconds since nothing else had changed."""
        return min(self.clock.monotonic() - self.at, NEVER_SECONDS)

    @property
    def left(self) -> float:
        """Seconds until the list is older than it should be."""
        return self.bounds.max_age - self.age

    def confirm(self, known: float) -> None:
        """Note that nothing else had changed at a time.

        :param known: monotonic seconds.
        """
        self.at = max(self.at, known)

    def check(self) -> None:
        """Record when the list has grown too old, and when it is fresh."""
        fresh = self.left >= 0
        if fresh != self._fresh:
            self._fresh = fresh
            self.log.record(
                catalogue.REGISTRY_FRESH if fresh else catalogue.REGISTRY_STALE,
                list_age=self.round_age(),
                max_age=self.bounds.max_age,
            )

    def round_age(self) -> float:
        """Shorten the age for a log line."""
        return round(self.age, _DIGITS)
