"""Tracks by how much replicas are slower than their kind of accelerator.

A few replicas may become many times slower for some seconds. Each of them
delays all paths through it, and the first replicas of these paths look full.
"""

from collections.abc import Container
from dataclasses import dataclass, field

SLOW_FACTOR = 1.3
"""Step-time factor from which a replica counts as slow."""

MAX_FACTOR = 100.0
"""Upper bound of a step-time factor."""

EXPIRY_SECONDS = 3.0
"""Time after which a report that a replica is slow expires.

A slow replica gets hardly any requests, so nothing else would show that it has
recovered.
"""


@dataclass(eq=False)
class StepFactorTracker:
    """Step-time factors that slow replicas have reported, by replica name."""

    _slow: dict[str, tuple[float, float]] = field(default_factory=dict)

    def record_factor(self, name: str, step_factor: float, now: float) -> bool:
        """Record the step-time factor that a replica reported.

        :param step_factor: by which its steps take longer.
        :returns: whether it is slow and was not known to be.
        """
        known = name in self.list_slow(now)
        if step_factor < SLOW_FACTOR:
            self._slow.pop(name, None)
            return False
        self._slow[name] = (min(step_factor, MAX_FACTOR), now + EXPIRY_SECONDS)
        return not known

    def list_slow(self, now: float) -> dict[str, float]:
        """List the step-time factors of the replicas that are slow now."""
        return {
            name: step_factor
            for name, (step_factor, until) in self._slow.items()
            if until > now
        }

    def keep(self, names: Container[str]) -> None:
        """Forget all but the given replicas."""
        self._slow = {
            name: slow for name, slow in self._slow.items() if name in names
        }
