"""Finds replicas that fail more requests than others do.

A replica may fail part of its requests at once while its health check is
good. It looks idle and fast, so choosing by load sends it more than its
share. Some routes fail often at every replica, and a failure there tells
little; so each answer is weighed by how much likelier it is of a replica that
fails half of its requests than of one that fails as many as the route does.
"""

import math
from collections.abc import Container
from dataclasses import dataclass

FAILING_SHARE = 0.45
"""Share of requests that a failing replica is taken to fail."""

EVIDENCE_LIMIT = 1.5
"""Evidence from which a replica is avoided: odds of about five to one.

One failure where failures are rare exceeds it, as do two in a row where one
answer in seven is a failure; one such failure alone does not.
"""

EVIDENCE_MOST = 6.0
"""Most evidence that is kept.

A replica is then tried again within four seconds; such faults last about six.
"""

FORGET_SECONDS = 3.0
"""Time in which evidence is forgotten to a third."""

_RAREST = 0.01
"""Share of failures below which routes are not told apart."""

_USUAL_WEIGHT = 0.05
"""Weight of the newest answer on a route, from whichever replica."""


@dataclass(slots=True)
class _Evidence:
    """The logarithm of the odds that a replica fails, as of a time."""

    weight: float
    noted: float


class FailureTracker:
    """What a node saw of failures, by replica and by route."""

    def __init__(self) -> None:
        self._usual: dict[str, float] = {}
        self._found: dict[str, _Evidence] = {}

    def record(
        self,
        replica: str,
        route: str,
        now: float,
        *,
        failed: bool,
    ) -> None:
        """Note an answer.

        :param route: its name; routes differ in how often they fail.
        """
        usual = self._usual.get(route, 0)
        weight = self._read(replica, now) + _weigh(usual, failed=failed)
        kept = min(EVIDENCE_MOST, max(0, weight))
        self._found[replica] = _Evidence(kept, now)
        self._usual[route] = usual + _USUAL_WEIGHT * (failed - usual)

    def list_failing(self, now: float) -> frozenset[str]:
        """Name the replicas to avoid where there are others."""
        return frozenset(
            name
            for name in self._found
            if self._read(name, now) > EVIDENCE_LIMIT
        )

    def keep(self, names: Container[str]) -> None:
        """Forget all replicas but some."""
        self._found = {
            name: found for name, found in self._found.items() if name in names
        }

    def _read(self, replica: str, now: float) -> float:
        found = self._found.get(replica)
        if found is None:
            return 0
        return found.weight * math.exp((found.noted - now) / FORGET_SECONDS)


def _weigh(usual: float, *, failed: bool) -> float:
    """Weigh an answer for and against a replica that fails."""
    share = min(FAILING_SHARE, max(_RAREST, usual))
    if failed:
        return math.log(FAILING_SHARE / share)
    return math.log((1 - FAILING_SHARE) / (1 - share))
