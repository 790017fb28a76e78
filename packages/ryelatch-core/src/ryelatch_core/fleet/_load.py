"""What a node has in progress at each replica."""

import math
from collections import Counter
from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass

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

MEAN_SECONDS = 0.05
"""Time, for each node that there is, in which means follow a change.

A node of sixty sends a request through a replica every five seconds: what it
has at a moment tells little of the others, its mean over three seconds more. A
node of eight has several at once, and the mean follows within half a second.
"""

DOUBT_SECONDS = 2.0
"""Time in which a node that starts learns of the others, at least.

That of a usual answer; it may not know yet how many nodes there are.
"""

_LEAST_MATURITY = 0.05
"""Share of its final value that a mean is taken to have at least.

Less would make one request of a node stand for hundreds.
"""

_WEIGHT = 0.3
"""Weight of the newest excess: three requests in a row tell the truth."""


@dataclass(slots=True)
class _Mean:
    """What a node had at a replica lately, as of a time."""

    requests: float
    tokens: float
    noted: float


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """What all nodes together are taken to have at each replica, by name.

    :param doubt: from 0 to 1, how little a node knows of that yet.
    """

    requests: Mapping[str, float]
    tokens: Mapping[str, float]
    doubt: float = 0


NO_LOAD = LoadEstimate({}, {})
"""Nothing in progress anywhere."""


class LoadTracker:
    """What this node has at each replica, by name, and how long it waited.

    A node sees its own requests only. That others crowd a replica, or that
    it is slow, shows in the time to the first event of the paths through it.
    """

    def __init__(self) -> None:
        self.requests: Counter[str] = Counter()
        self.tokens: Counter[str] = Counter()
        self._means: dict[str, _Mean] = {}
        self._nodes = 1
        self._began: float | None = None
        self._excess: dict[str, tuple[float, float]] = {}

    def record_first_event(
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
        self._means = {
            name: mean for name, mean in self._means.items() if name in names
        }

    def set_node_count(self, nodes: int) -> None:
        """Take note of how many nodes there are."""
        self._nodes = nodes

    def add(self, path: Iterable[Stage], tokens: int, now: float) -> None:
        """Note a request that was sent on a path."""
        for stage in path:
            self._settle(stage.replica.name, now)
            self.requests[stage.replica.name] += 1
            self.tokens[stage.replica.name] += tokens

    def remove(self, path: Iterable[Stage], tokens: int, now: float) -> None:
        """Note the end of a request."""
        for stage in path:
            name = stage.replica.name
            self._settle(name, now)
            self.requests[name] -= 1
            self.tokens[name] -= tokens
            if self.requests[name] <= 0:
                del self.requests[name]
                del self.tokens[name]

    def estimate(self, now: float) -> LoadEstimate:
        """Estimate what all nodes have at the replicas.

        This node's own requests are known. The others are taken to have as
        many as this one has had lately: clients come to all alike.
        """
        for name in self._means:
            self._settle(name, now)
        others = (self._nodes - 1) / self._find_maturity(now)
        return LoadEstimate(
            {
                name: self.requests[name] + others * mean.requests
                for name, mean in self._means.items()
            },
            {
                name: self.tokens[name] + others * mean.tokens
                for name, mean in self._means.items()
            },
            self._find_doubt(now),
        )

    def _find_doubt(self, now: float) -> float:
        """Tell how little this node knows yet of what the others send."""
        began = now if self._began is None else self._began
        learning = max(DOUBT_SECONDS, MEAN_SECONDS * self._nodes)
        return math.exp((began - now) / learning)

    def _find_maturity(self, now: float) -> float:
        """Tell how much of their final value means have reached.

        They begin at nothing. When sixty nodes have just been started
        together, the first seconds of means alone told each of them that
        the others had nothing, and all sent to the same few replicas.
        """
        if self._began is None:
            self._began = now
        age = now - self._began
        following = MEAN_SECONDS * self._nodes
        return max(_LEAST_MATURITY, 1 - math.exp(-age / following))

    def _settle(self, name: str, now: float) -> None:
        """Bring a replica's mean up to now."""
        mean = self._means.setdefault(name, _Mean(0, 0, now))
        following = MEAN_SECONDS * self._nodes
        weight = 1 - math.exp((mean.noted - now) / following)
        mean.requests += weight * (self.requests[name] - mean.requests)
        mean.tokens += weight * (self.tokens[name] - mean.tokens)
        mean.noted = now
