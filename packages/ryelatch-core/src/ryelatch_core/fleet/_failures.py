"""Detects replicas that fail more requests than others do.

A replica may fail some of its requests immediately while its health check
passes. It looks idle and fast, so a choice by load sends it more than its fair
part. Some routes fail often at every replica, and a failure there is weak
evidence. Each response therefore counts by its likelihood ratio: that of a
replica that fails about half of its requests, against that of one that fails
as many as is normal for the route.
"""

import math
from collections.abc import Container
from dataclasses import dataclass

FAILING_RATIO = 0.45
"""Fraction of requests that a failing replica is assumed to fail."""

EVIDENCE_LIMIT = 1.5
"""Log odds above which a replica is avoided: odds of about five to one.

One failure exceeds it where failures are rare, and so do two in a row where
one response in seven is a failure. A single failure there does not.
"""

MAX_EVIDENCE = 6.0
"""Upper bound of the log odds of a replica.

It is tried again within four seconds; such faults last about six.
"""

DECAY_SECONDS = 3.0
"""Time in which evidence decays to 1/e."""

_MIN_FAILURE_RATIO = 0.01
"""Failure ratio of a route below which routes are treated alike."""

_BASELINE_WEIGHT = 0.05
"""Weight of the latest response in the failure ratio of its route."""


@dataclass(slots=True)
class _Evidence:
    """Log odds that a replica is failing, and the time of their last update."""

    log_odds: float
    updated: float


class FailureTracker:
    """Evidence of failing replicas, and the failure ratios of routes."""

    def __init__(self) -> None:
        self._baselines: dict[str, float] = {}
        self._evidence: dict[str, _Evidence] = {}

    def record(
        self,
        replica: str,
        route: str,
        now: float,
        *,
        failed: bool,
    ) -> None:
        """Record whether a response was a failure.

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
        """List the replicas to avoid while others are available."""
        return frozenset(
            name
            for name in self._evidence
            if self._read(name, now) > EVIDENCE_LIMIT
        )

    def keep(self, names: Container[str]) -> None:
        """Forget all but the given replicas."""
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
    """Compute the change of the log odds that one response causes."""
    ratio = min(FAILING_RATIO, max(_MIN_FAILURE_RATIO, baseline))
    if failed:
        return math.log(FAILING_RATIO / ratio)
    return math.log((1 - FAILING_RATIO) / (1 - ratio))
