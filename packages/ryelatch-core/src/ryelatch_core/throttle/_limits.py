"""The limits that replicas named, as far as a node has heard."""

import math
from collections.abc import Container
from dataclasses import dataclass, field

KEPT_SECONDS = 60.0
"""How long the word of a replica that is gone is kept."""


@dataclass(frozen=True, slots=True)
class ReportedLimit:
    """What a replica said of its limit.

    :param limit: requests a second from all nodes together; nothing if it
        said that it has none.
    :param at: when it said so, in monotonic seconds.
    """

    limit: float | None
    at: float


@dataclass(eq=False)
class LimitTracker:
    """The newest word of each replica, by the name of its life."""

    _heard: dict[str, ReportedLimit] = field(default_factory=dict)

    def record_limit(self, name: str, heard: ReportedLimit) -> bool:
        """Take what a replica said, unless a newer word is known.

        :returns: whether it has a limit now and had none, or the reverse.
        """
        known = self._heard.get(name)
        if known is not None and known.at > heard.at:
            return False
        if heard.limit is not None and not _is_usable(heard.limit):
            return False
        if known is None and heard.limit is None:
            return False
        self._heard[name] = heard
        before = None if known is None else known.limit
        return (before is None) != (heard.limit is None)

    def find(self, name: str) -> ReportedLimit | None:
        """Find the newest word of one that has, or had, a limit."""
        return self._heard.get(name)

    def find_limit(self, name: str) -> float | None:
        """Find the limit of a replica; nothing if it has none."""
        known = self._heard.get(name)
        return None if known is None else known.limit

    def list_limited(self) -> frozenset[str]:
        """Name the replicas that have a limit."""
        return frozenset(
            name
            for name, known in self._heard.items()
            if known.limit is not None
        )

    def keep(self, names: Container[str], now: float) -> None:
        """Forget the replicas that are gone, but not at once.

        An entry that lapses in an outage comes back with the same life, which
        is in need as before.
        """
        self._heard = {
            name: known
            for name, known in self._heard.items()
            if name in names or now - known.at < KEPT_SECONDS
        }


def _is_usable(limit: float) -> bool:
    return math.isfinite(limit) and limit >= 0
