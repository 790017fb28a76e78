"""By how much replicas are slower than their kind of accelerator.

Answers the load of a few replicas that turn many times slower for seconds:
each of them holds up all paths through it, and its first replica looks full.
"""

from collections.abc import Container
from dataclasses import dataclass, field

SLOW_PACE = 1.3
"""Factor from which a replica counts as slow."""

MOST_PACE = 100.0
"""Largest factor that is believed."""

KEPT_SECONDS = 3.0
"""How long a replica that said that it is slow is taken for it.

It is hardly used meanwhile, so nothing else would show that it has recovered.
"""


@dataclass(eq=False)
class StepFactorTracker:
    """What replicas said of their own pace, by name."""

    _slow: dict[str, tuple[float, float]] = field(default_factory=dict)

    def note(self, name: str, pace: float, now: float) -> bool:
        """Note what a replica said.

        :param pace: factor by which its passes take longer.
        :returns: whether it is slow and was not known to be.
        """
        known = name in self.list_slow(now)
        if pace < SLOW_PACE:
            self._slow.pop(name, None)
            return False
        self._slow[name] = (min(pace, MOST_PACE), now + KEPT_SECONDS)
        return not known

    def list_slow(self, now: float) -> dict[str, float]:
        """List the factors of the replicas that are slow now."""
        return {
            name: pace
            for name, (pace, until) in self._slow.items()
            if until > now
        }

    def keep(self, names: Container[str]) -> None:
        """Forget all replicas but some."""
        self._slow = {
            name: slow for name, slow in self._slow.items() if name in names
        }
