"""How long replicas take for a request, as one node sees it.

Answers the load of a few requests a second where one replica is slower than
the others: none has a request in progress, so load does not tell them apart.
"""

import math
from collections.abc import Container
from dataclasses import dataclass, field

_WEIGHT = 0.2
"""Weight of the newest time in the mean of a replica's times.

The mean follows a change within five answers, a second at usual load.
"""

_SLOW_STEP = 0.05
"""Seconds by which means must differ to tell a slow replica from chance."""

_FADE_SECONDS = 20.0
"""Time in which a mean fades to a third, as a slow replica is hardly asked."""


@dataclass(frozen=True, slots=True)
class _Mean:
    """A mean of times, as of a moment; both in seconds."""

    seconds: float
    noted: float


_NOTHING = _Mean(0, 0)


@dataclass(eq=False)
class DurationTracker:
    """The mean of how long requests took, by replica."""

    _means: dict[str, _Mean] = field(default_factory=dict)

    def record(self, name: str, seconds: float, now: float) -> None:
        """Note how long a request took, answered or given up.

        :param now: monotonic seconds.
        """
        mean = self._read(name, now)
        changed = mean + _WEIGHT * (seconds - mean)
        self._means[name] = _Mean(changed, now)

    def rank(self, name: str, now: float) -> int:
        """Rank a replica by its mean, coarsely; 0 is the fastest."""
        return int(self._read(name, now) / _SLOW_STEP)

    def keep(self, names: Container[str]) -> None:
        """Forget all replicas but some."""
        self._means = {
            name: mean for name, mean in self._means.items() if name in names
        }

    def _read(self, name: str, now: float) -> float:
        mean = self._means.get(name, _NOTHING)
        return mean.seconds * math.exp((mean.noted - now) / _FADE_SECONDS)
