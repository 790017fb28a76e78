"""Tracks how long requests take at each replica, as seen by this node.

At a few requests per second no replica has requests in progress when the next
one is sent. Load then does not distinguish a slow replica from the others, so
the durations of earlier requests do.
"""

import math
from collections.abc import Container
from dataclasses import dataclass, field

_LATEST_WEIGHT = 0.2
"""Weight of the latest duration in a replica's mean.

The mean follows a change within five requests, about a second at usual load.
"""

_RANK_STEP_SECONDS = 0.05
"""Difference of means that separates two ranks; smaller ones may be chance."""

_DECAY_SECONDS = 20.0
"""Time in which a mean decays to 1/e.

A replica that is ranked as slow gets few requests, so its mean has to decay
for it to be tried again.
"""


@dataclass(frozen=True, slots=True)
class _Mean:
    """A mean duration and the time of its last update, both in seconds."""

    seconds: float
    updated: float


_NO_MEAN = _Mean(0, 0)


@dataclass(eq=False)
class DurationTracker:
    """Mean duration of requests, by replica name."""

    _means: dict[str, _Mean] = field(default_factory=dict)

    def record(self, name: str, seconds: float, now: float) -> None:
        """Record how long a request took, whether it was answered or given up.

        :param name: of the replica.
        :param now: monotonic seconds.
        """
        mean = self._read(name, now)
        changed = mean + _LATEST_WEIGHT * (seconds - mean)
        self._means[name] = _Mean(changed, now)

    def rank(self, name: str, now: float) -> int:
        """Rank a replica by its mean in coarse steps; 0 is the fastest rank."""
        return int(self._read(name, now) / _RANK_STEP_SECONDS)

    def keep(self, names: Container[str]) -> None:
        """Forget all but the given replicas."""
        self._means = {
            name: mean for name, mean in self._means.items() if name in names
        }

    def _read(self, name: str, now: float) -> float:
        mean = self._means.get(name, _NO_MEAN)
        return mean.seconds * math.exp((mean.updated - now) / _DECAY_SECONDS)
