"""Tracks this node's load at each replica and estimates that of all nodes."""

import math
from collections import Counter
from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass, field

from ryelatch_core.fleet._types import Stage

UNLOADED_FIRST_EVENT_SECONDS = 0.15
"""Time to the first event up to which a path counts as unloaded.

Unloaded paths take 0.05 s, and 0.1 s for the longest prompts.
"""

EXCESS_DECAY_SECONDS = 3.0
"""Time in which the excess latency of a path decays to 1/e.

A typical answer takes two seconds, so most of the load that caused the delay
is gone by then. Without decay a path that gets no requests would stay marked
as overloaded.
"""

MEAN_SECONDS_PER_NODE = 0.05
"""Time constant of the mean load, for each node of the fleet.

A node of sixty sends a request through a given replica every five seconds: its
current load says little about the others, its mean over three seconds more. A
node of eight has several requests there at once, and its mean follows within
half a second.
"""

MIN_LEARNING_SECONDS = 2.0
"""Minimum time that a started node takes to learn the load of the others.

This is the duration of a typical answer; the number of nodes may still be
unknown.
"""

_MIN_MATURITY = 0.05
"""Lower bound of the fraction of its final value that a mean has reached.

With a smaller value, one request of a node would count as hundreds.
"""

_LATEST_WEIGHT = 0.3
"""Weight of the latest excess; the mean follows within three requests."""


@dataclass(slots=True)
class _Mean:
    """Mean load of this node at a replica, and the time of its last update."""

    requests: float
    tokens: float
    updated: float


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """Estimated load of all nodes together, by replica name.

    :param requests: in progress.
    :param tokens: of these requests.
    :param uncertainty: from 0 to 1; how little this node knows of the load of
        other nodes so far.
    :param entry_seconds: predicted seconds to the first event of a path that
        begins at a replica, where known.
    :param context: tokens of the requests of all nodes, where known.
    """

    requests: Mapping[str, float]
    tokens: Mapping[str, float]
    uncertainty: float = 0
    entry_seconds: Mapping[str, float] = field(default_factory=dict)
    context: Mapping[str, float] = field(default_factory=dict)


NO_LOAD = LoadEstimate({}, {})
"""An estimate without any requests in progress."""


class LoadTracker:
    """Load that this node has at each replica, and excess latency of its paths.

    A node sees its own requests only. Whether other nodes overload a replica,
    or the replica is slow, shows in the time to the first event of the paths
    through it.
    """

    def __init__(self) -> None:
        self.requests: Counter[str] = Counter()
        self.tokens: Counter[str] = Counter()
        self._own_requests: Counter[str] = Counter()
        self._own_tokens: Counter[str] = Counter()
        self._means: dict[str, _Mean] = {}
        self._nodes = 1
        self._started_at: float | None = None
        self._excess: dict[str, tuple[float, float]] = {}

    def record_first_event(
        self,
        path: Iterable[Stage],
        seconds: float,
        now: float,
    ) -> None:
        """Record how long a path took to its first event."""
        excess = max(0.0, seconds - UNLOADED_FIRST_EVENT_SECONDS)
        for stage in path:
            name = stage.replica.name
            known = self.estimate_excess(name, now)
            mean = known + _LATEST_WEIGHT * (excess - known)
            self._excess[name] = (mean, now)

    def estimate_excess(self, name: str, now: float) -> float:
        """Estimate the excess latency of a replica's paths, in seconds."""
        mean, updated = self._excess.get(name, (0.0, now))
        return mean * math.exp((updated - now) / EXCESS_DECAY_SECONDS)

    def list_excess(self, now: float) -> dict[str, float]:
        """List the excess latency of paths by replica name, in seconds."""
        return {name: self.estimate_excess(name, now) for name in self._excess}

    def keep(self, names: Container[str]) -> None:
        """Forget the means and latencies of all but the given replicas."""
        self._excess = {
            name: excess
            for name, excess in self._excess.items()
            if name in names
        }
        self._means = {
            name: mean for name, mean in self._means.items() if name in names
        }

    def set_node_count(self, nodes: int) -> None:
        """Set the number of nodes of the fleet."""
        self._nodes = nodes

    def add(
        self,
        path: Iterable[Stage],
        tokens: int,
        now: float,
        *,
        own: bool = True,
    ) -> None:
        """Record a request that was sent on a path.

        :param own: whether its client is connected to this node. The requests
            of other nodes say nothing of how many each node has.
        """
        for stage in path:
            name = stage.replica.name
            self._update_mean(name, now)
            self.requests[name] += 1
            self.tokens[name] += tokens
            self._own_requests[name] += own
            self._own_tokens[name] += tokens * own

    def remove(
        self,
        path: Iterable[Stage],
        tokens: int,
        now: float,
        *,
        own: bool = True,
    ) -> None:
        """Record that a request has finished.

        :param own: as in :meth:`add`.
        """
        for stage in path:
            name = stage.replica.name
            self._update_mean(name, now)
            self.requests[name] -= 1
            self.tokens[name] -= tokens
            self._own_requests[name] -= own
            self._own_tokens[name] -= tokens * own
            if self.requests[name] <= 0:
                self._forget(name)

    def estimate(self, now: float) -> LoadEstimate:
        """Estimate the load of all nodes at each replica.

        This node's own requests are known. Every other node is assumed to have
        as many as this one has had recently, since clients spread over all
        nodes.
        """
        for name in self._means:
            self._update_mean(name, now)
        others = (self._nodes - 1) / self._compute_maturity(now)
        return LoadEstimate(
            {
                name: self.requests[name] + others * mean.requests
                for name, mean in self._means.items()
            },
            {
                name: self.tokens[name] + others * mean.tokens
                for name, mean in self._means.items()
            },
            self._compute_uncertainty(now),
        )

    def _forget(self, name: str) -> None:
        """Forget a replica without requests of this node."""
        for counts in (
            self.requests,
            self.tokens,
            self._own_requests,
            self._own_tokens,
        ):
            counts.pop(name, None)

    def _compute_uncertainty(self, now: float) -> float:
        """Compute how little this node knows of other nodes, from 0 to 1."""
        started_at = now if self._started_at is None else self._started_at
        learning = max(
            MIN_LEARNING_SECONDS, MEAN_SECONDS_PER_NODE * self._nodes
        )
        return math.exp((started_at - now) / learning)

    def _compute_maturity(self, now: float) -> float:
        """Compute which fraction of their final value the means have reached.

        Means begin at zero. When sixty nodes started together, each took the
        others to be idle for the first seconds, and all of them sent to the
        same few replicas.
        """
        if self._started_at is None:
            self._started_at = now
        age = now - self._started_at
        time_constant = MEAN_SECONDS_PER_NODE * self._nodes
        return max(_MIN_MATURITY, 1 - math.exp(-age / time_constant))

    def _update_mean(self, name: str, now: float) -> None:
        """Update the mean load of a replica to the current time."""
        mean = self._means.setdefault(name, _Mean(0, 0, now))
        time_constant = MEAN_SECONDS_PER_NODE * self._nodes
        weight = 1 - math.exp((mean.updated - now) / time_constant)
        mean.requests += weight * (self._own_requests[name] - mean.requests)
        mean.tokens += weight * (self._own_tokens[name] - mean.tokens)
        mean.updated = now
