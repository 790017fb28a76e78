"""The limits that replicas named, as far as a node has heard."""

import math
from collections.abc import Container
from dataclasses import dataclass, field

RETENTION_SECONDS = 60.0
"""How long the word of a replica that is gone is kept."""


@dataclass(frozen=True, slots=True)
class Heard:
    """What a replica said of its limit.

    :param limit: requests a second from all nodes together; nothing if it
        said that it has none.
    :param at: when it said so, in monotonic seconds.
    """

    limit: float | None
    at: float


@dataclass(eq=False)
class LimitBook:
    """The newest word of each replica, by the name of its life."""

    _reported: dict[str, Heard] = field(default_factory=dict)

    def hear(self, name: str, reported: Heard) -> bool:
        """Take what a replica said, unless a newer word is known.

        :returns: whether it has a limit now and had none, or the reverse.
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

    def find(self, name: str) -> Heard | None:
        """Find the newest word of one that has, or had, a limit."""
        return self._reported.get(name)

    def find_limit(self, name: str) -> float | None:
        """Find the limit of a replica; nothing if it has none."""
        known = self._reported.get(name)
        return None if known is None else known.limit

    def list_limited(self) -> frozenset[str]:
        """Name the replicas that have a limit."""
        return frozenset(
            name
            for name, known in self._reported.items()
            if known.limit is not None
        )

    def keep(self, names: Container[str], now: float) -> None:
        """Forget the replicas that are gone, but not at once.

        An entry that lapses in an outage comes back with the same life, which
        is in need as before.
        """
        self._reported = {
            name: known
            for name, known in self._reported.items()
            if name in names or now - known.at < RETENTION_SECONDS
        }


def _is_usable(limit: float) -> bool:
    return math.isfinite(limit) and limit >= 0
