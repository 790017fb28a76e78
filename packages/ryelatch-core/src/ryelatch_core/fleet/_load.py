"""What a node has in progress at each replica."""

import math
from collections import Counter
from collections.abc import Container, Iterable

from ryelatch_core.fleet._types import Stage

USUAL_FIRST_SECONDS = 0.15
"""Time to a first event up to which a path counts as free.

Unloaded paths need 0.05 s, and 0.1 s for the longest prompts.
"""

EXCESS_SECONDS = 3.0
"""Time in which a path's excess is forgotten to a third.

A usual answer takes two seconds, so what crowded a path is mostly gone then;
and a path that nobody tries would never be seen to be free again.
"""

_WEIGHT = 0.3
"""Weight of the newest excess: three requests in a row tell the truth."""


class LoadBook:
    """What this node has at each replica, by name, and how long it waited.

    A node sees its own requests only. That others crowd a replica, or that
    it is slow, shows in the time to the first event of the paths through it.
    """

    def __init__(self) -> None:
        self.requests: Counter[str] = Counter()
        self.tokens: Counter[str] = Counter()
        self._excess: dict[str, tuple[float, float]] = {}

    def note_first(
        self,
        path: Iterable[Stage],
        seconds: float,
        now: float,
    ) -> None:
        """Note how long a path took to its first event."""
        excess = max(0.0, seconds - USUAL_FIRST_SECONDS)
        for stage in path:
            name = stage.replica.name
            known = self.find_excess(name, now)
            mean = known + _WEIGHT * (excess - known)
            self._excess[name] = (mean, now)

    def find_excess(self, name: str, now: float) -> float:
        """Estimate the seconds by which paths through a replica are late."""
        mean, noted = self._excess.get(name, (0.0, now))
        return mean * math.exp((noted - now) / EXCESS_SECONDS)

    def list_excess(self, now: float) -> dict[str, float]:
        """List the replicas whose paths are late, and by how much."""
        return {name: self.find_excess(name, now) for name in self._excess}

    def keep(self, names: Container[str]) -> None:
        """Forget what was noted of all replicas but some."""
        self._excess = {
            name: noted for name, noted in self._excess.items() if name in names
        }

    def add(self, path: Iterable[Stage], tokens: int) -> None:
        """Note a request that was sent on a path."""
        for stage in path:
            self.requests[stage.replica.name] += 1
            self.tokens[stage.replica.name] += tokens

    def remove(self, path: Iterable[Stage], tokens: int) -> None:
        """Note the end of a request."""
        for stage in path:
            name = stage.replica.name
            self.requests[name] -= 1
            self.tokens[name] -= tokens
            if self.requests[name] <= 0:
                del self.requests[name]
                del self.tokens[name]
