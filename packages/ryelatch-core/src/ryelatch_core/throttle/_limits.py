"""Rate limits that replicas have announced, as far as a node knows them."""

import math
from collections.abc import Container
from dataclasses import dataclass, field

RETENTION_SECONDS = 60.0
"""How long the limit of a replica that is no longer listed is kept."""


@dataclass(frozen=True, slots=True)
class ReportedLimit:
    """A rate limit that a replica has announced, or that it has none.

    :param limit: requests per second from all nodes together; ``None`` if
        the replica announced that it has no limit.
    :param at: monotonic seconds at which the replica announced it.
    """

    limit: float | None
    at: float


@dataclass(eq=False)
class LimitTracker:
    """Newest announced limit of each replica, by name of its incarnation."""

    _reported: dict[str, ReportedLimit] = field(default_factory=dict)

    def record_limit(self, name: str, reported: ReportedLimit) -> bool:
        """Record a limit that a replica has announced.

        An announcement is ignored if it is older than the known one, if its
        limit is unusable (negative, infinite or NaN), or if it is the first
        one known of the replica and states that there is no limit.

        :param name: name of the replica's incarnation.
        :param reported: the limit in requests per second, ``None`` for no
            limit, and the monotonic seconds of this node at which it was
            announced.
        :returns: whether the replica became limited or unlimited; false if the
            announcement is ignored.
        """
        known = self._reported.get(name)
        if known is not None and known.at > reported.at:
            return False
        if reported.limit is not None and not _is_usable(reported.limit):
            return False
        if known is None and reported.limit is None:
            return False
        self._reported[name] = reported
        before = None if known is None else known.limit
        return (before is None) != (reported.limit is None)

    def find(self, name: str) -> ReportedLimit | None:
        """Find the newest announcement of a replica that has or had a limit."""
        return self._reported.get(name)

    def find_limit(self, name: str) -> float | None:
        """Find the limit of a replica; ``None`` if it has none."""
        known = self._reported.get(name)
        return None if known is None else known.limit

    def list_limited(self) -> frozenset[str]:
        """List the names of the replicas that have a limit."""
        return frozenset(
            name
            for name, known in self._reported.items()
            if known.limit is not None
        )

    def keep(self, names: Container[str], now: float) -> None:
        """Drop replicas that are no longer listed, after some time.

        An entry that expires in an outage of the store reappears for the same
        incarnation, which is as overloaded as before.

        :param names: names of the replicas that are listed.
        """
        self._reported = {
            name: known
            for name, known in self._reported.items()
            if name in names or now - known.at < RETENTION_SECONDS
        }


def _is_usable(limit: float) -> bool:
    return math.isfinite(limit) and limit >= 0
