"""Predicts how long a path takes to its first event, by its first replica.

A first replica reads the prompts of its paths one after the other, a piece
with each token that it passes on. So the time to the first event grows with
the prompts that it has yet to read, and more so the longer its paths are
loaded, while it still has free slots and memory.
"""

from collections import Counter
from collections.abc import Container
from dataclasses import dataclass, field

DEFAULT_PROMPT_SECONDS = 0.05
"""Time that a first replica takes for a prompt, before any was measured."""

MIN_PROMPT_SECONDS = 0.001
"""Lower bound of the time that a first replica takes for a prompt."""

_LATEST_WEIGHT = 0.2
"""Weight of the latest measurement; the mean follows within five prompts."""


@dataclass(eq=False)
class EntryDelays:
    """Delays of the first replicas, by their names.

    :param pending: requests of each first replica without a first event.
    """

    pending: Counter[str]
    _prompt_seconds: dict[str, float] = field(default_factory=dict)

    def record(self, name: str, seconds: float) -> None:
        """Record how long a request took to its first event, or has waited.

        Called while it still counts as pending.
        """
        latest = seconds / max(1, self.pending[name])
        mean = self._prompt_seconds.get(name, DEFAULT_PROMPT_SECONDS)
        self._prompt_seconds[name] = mean + _LATEST_WEIGHT * (latest - mean)

    def read_rate(self, name: str) -> float:
        """Return how many requests a first replica begins per second."""
        each = self._prompt_seconds.get(name, DEFAULT_PROMPT_SECONDS)
        return 1 / max(each, MIN_PROMPT_SECONDS)

    def predict(self, name: str) -> float:
        """Predict the seconds to the first event of the next request."""
        each = self._prompt_seconds.get(name, DEFAULT_PROMPT_SECONDS)
        return (self.pending[name] + 1) * each

    def count_room(self, name: str, patience: float) -> float:
        """Count the requests that would not wait too long.

        One request may always wait, as its delay is measured.

        :param patience: longest time to the first event, in seconds.
        """
        each = self._prompt_seconds.get(name, DEFAULT_PROMPT_SECONDS)
        return max(1, patience / each) - self.pending[name]

    def exceeds(self, name: str, patience: float) -> bool:
        """Return whether the next request would wait too long.

        :param patience: longest time to the first event, in seconds.
        """
        return self.count_room(name, patience) < 1

    def keep(self, names: Container[str]) -> None:
        """Forget all but the given first replicas."""
        self._prompt_seconds = {
            name: seconds
            for name, seconds in self._prompt_seconds.items()
            if name in names
        }
