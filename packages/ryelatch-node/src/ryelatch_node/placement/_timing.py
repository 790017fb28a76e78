"""Decides when the replicas are stable enough for planning."""

from collections.abc import Collection
from dataclasses import dataclass

from ryelatch_core.fleet import Replica

MIN_GAP_SECONDS = 2.5
"""Time that layers must be missing before all layers of a zone are reassigned.

Crashed replicas are usually back within four seconds, and removed ones are
replaced; reassigning all layers makes most replicas of a zone load again.
"""

SETTLE_SECONDS = 1.5
"""Time without new replicas before a fleet that holds no layers is planned.

After a first start, replicas register over four to five seconds, several per
second; a plan for only the first of them would soon be obsolete.
"""

RELAYOUT_COOLDOWN_SECONDS = 12.0
"""Minimum time between two reassignments of all layers of a zone.

Replicas first finish the answers that use the layers they drop, which takes up
to ten seconds. If one replica per second is replaced, each replacement would
change all layer ranges, and the zone would never hold all layers.
"""

STEADY_SECONDS = 2.5
"""Time without added or removed replicas before layers are reassigned."""


@dataclass(eq=False)
class PlanTiming:
    """Times of changes in this node's view, in monotonic seconds.

    :param need_since: when the need for commands arose; nothing if none.
    :param gap_since: since when layers have been missing; nothing if none are.
    """

    need_since: float | None = None
    gap_since: float | None = None
    _members: frozenset[str] = frozenset()
    _members_since: float = 0
    _relayout_at: float = float('-inf')
    _grown_at: float = 0
    _listed_count: int = 0

    def record_replicas(
        self, replicas: Collection[Replica], now: float
    ) -> None:
        """Record which replicas are listed."""
        members = frozenset(
            replica.name for replica in replicas if not replica.leaving
        )
        if members != self._members:
            self._members = members
            self._members_since = now
        if len(replicas) > self._listed_count:
            self._grown_at = now
        self._listed_count = len(replicas)

    def record_gap(self, now: float, *, missing: bool) -> None:
        """Record whether layers are missing."""
        self.gap_since = _update_since(self.gap_since, now, holds=missing)

    def record_need(self, now: float, *, needed: bool) -> None:
        """Record whether commands are due."""
        self.need_since = _update_since(self.need_since, now, holds=needed)

    def record_relayout(self, now: float) -> None:
        """Record that all layers of a zone were reassigned."""
        self._relayout_at = now

    def is_settled(self, replicas: Collection[Replica], now: float) -> bool:
        """Whether the list of replicas has stopped growing."""
        if any(replica.layers for replica in replicas):
            return True
        return bool(replicas) and now - self._grown_at > SETTLE_SECONDS

    def may_relayout(self, now: float) -> bool:
        """Whether all layers of a zone may be reassigned."""
        lasted = now - self.gap_since if self.gap_since else 0
        return (
            lasted > MIN_GAP_SECONDS
            and now - self._members_since > STEADY_SECONDS
            and now - self._relayout_at > RELAYOUT_COOLDOWN_SECONDS
        )


def _update_since(
    since: float | None, now: float, *, holds: bool
) -> float | None:
    """Return since when a condition holds; nothing if it does not."""
    if not holds:
        return None
    return now if since is None else since
