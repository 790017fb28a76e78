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

FAILING_RATIO = 0.45
"""Share of requests that a failing replica is taken to fail."""

EVIDENCE_LIMIT = 1.5
"""Evidence from which a replica is avoided: odds of about five to one.

One failure where failures are rare exceeds it, as do two in a row where one
answer in seven is a failure; one such failure alone does not.
"""

MAX_EVIDENCE = 6.0
"""Most evidence that is kept.

A replica is then tried again within four seconds; such faults last about six.
"""

DECAY_SECONDS = 3.0
"""Time in which evidence is forgotten to a third."""

_MIN_FAILURE_RATIO = 0.01
"""Share of failures below which routes are not told apart."""

_BASELINE_WEIGHT = 0.05
"""Weight of the newest answer on a route, from whichever replica."""


@dataclass(slots=True)
class _Evidence:
    """The logarithm of the odds that a replica fails, as of a time."""

    log_odds: float
    updated: float


class FailureBook:
    """What a node saw of failures, by replica and by route."""

    def __init__(self) -> None:
        self._baselines: dict[str, float] = {}
        self._evidence: dict[str, _Evidence] = {}

    def note(
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
        baseline = self._baselines.get(route, 0)
        log_odds = self._read(replica, now) + _compute_evidence(
            baseline, failed=failed
        )
        kept = min(MAX_EVIDENCE, max(0, log_odds))
        self._evidence[replica] = _Evidence(kept, now)
        self._baselines[route] = baseline + _BASELINE_WEIGHT * (
            failed - baseline
        )

    def list_failing(self, now: float) -> frozenset[str]:
        """Name the replicas to avoid where there are others."""
        return frozenset(
            name
            for name in self._evidence
            if self._read(name, now) > EVIDENCE_LIMIT
        )

    def keep(self, names: Container[str]) -> None:
        """Forget all replicas but some."""
        self._evidence = {
            name: evidence
            for name, evidence in self._evidence.items()
            if name in names
        }

    def _read(self, replica: str, now: float) -> float:
        evidence = self._evidence.get(replica)
        if evidence is None:
            return 0
        return evidence.log_odds * math.exp(
            (evidence.updated - now) / DECAY_SECONDS
        )


def _compute_evidence(baseline: float, *, failed: bool) -> float:
    """Weigh an answer for and against a replica that fails."""
    ratio = min(FAILING_RATIO, max(_MIN_FAILURE_RATIO, baseline))
    if failed:
        return math.log(FAILING_RATIO / ratio)
    return math.log((1 - FAILING_RATIO) / (1 - ratio))
