"""When a fleet is calm enough to be planned, and needs to be."""

from collections.abc import Collection
from dataclasses import dataclass

from ryelatch_core.fleet import Replica

PERSISTENT_SECONDS = 2.5
"""How long a gap must last before its zone is laid out anew.

Replicas that crash are mostly back within four seconds, and replaced ones
have successors; laying out anew loads most of a zone.
"""

SETTLE_SECONDS = 1.5
"""How long the list must not grow before an empty fleet is planned.

Replicas register over four to five seconds after a first start, several a
second; a plan for the first few would have to be done again.
"""

LAYOUT_REST_SECONDS = 12.0
"""How long a zone that was laid out anew is not laid out again.

Replicas first finish what passes through the layers that they give up, up to
ten seconds. When replicas are replaced one a second, each of them would
change all ranges, and the zone would never be whole.
"""

STEADY_SECONDS = 2.5
"""How long no replica may have come or gone before a zone is laid out."""


@dataclass(eq=False)
class PlanTiming:
    """What a node saw come, go and lack, with times in monotonic seconds.

    :param need_since: when the need for orders arose.
    :param gap_since: when layers were first missing.
    """

    need_since: float | None = None
    gap_since: float | None = None
    _members: frozenset[str] = frozenset()
    _members_since: float = 0
    _laid_out: float = float('-inf')
    _grown: float = 0
    _known: int = 0

    def note_replicas(self, replicas: Collection[Replica], now: float) -> None:
        """Note which replicas there are."""
        members = frozenset(one.name for one in replicas if not one.leaving)
        if members != self._members:
            self._members = members
            self._members_since = now
        if len(replicas) > self._known:
            self._grown = now
        self._known = len(replicas)

    def note_gap(self, now: float, *, missing: bool) -> None:
        """Note whether layers are missing."""
        self.gap_since = _date(self.gap_since, now, lasts=missing)

    def note_need(self, now: float, *, needed: bool) -> None:
        """Note whether orders are due."""
        self.need_since = _date(self.need_since, now, lasts=needed)

    def note_layout(self, now: float) -> None:
        """Note that a zone was laid out anew."""
        self._laid_out = now

    def is_settled(self, replicas: Collection[Replica], now: float) -> bool:
        """Whether the list of replicas has stopped growing."""
        if any(one.layers for one in replicas):
            return True
        return bool(replicas) and now - self._grown > SETTLE_SECONDS

    def may_lay_out(self, now: float) -> bool:
        """Whether a gap has lasted, and replicas neither come nor go."""
        lasted = now - self.gap_since if self.gap_since else 0
        return (
            lasted > PERSISTENT_SECONDS
            and now - self._members_since > STEADY_SECONDS
            and now - self._laid_out > LAYOUT_REST_SECONDS
        )


def _date(since: float | None, now: float, *, lasts: bool) -> float | None:
    """Tell since when something lasts; nothing if it does not."""
    if not lasts:
        return None
    return now if since is None else since
