"""Replicas that fail requests are detected, avoided, and tried again."""

import random
from collections import Counter

from ryelatch_core.fleet import FailureTracker

_NAMES = ('good-1', 'grey', 'good-2')


def _choose(tracker: FailureTracker, now: float, rng: random.Random) -> str:
    failing = tracker.list_failing(now)
    return rng.choice([name for name in _NAMES if name not in failing])


def _simulate(
    failure_ratio: float, baseline: float, rate: float
) -> Counter[str]:
    """Send requests for a minute; one of three replicas fails more than others.

    :param failure_ratio: fraction that this replica fails.
    :param baseline: fraction that every replica fails.
    :param rate: requests per second of this node.
    """
    tracker = FailureTracker()
    rng = random.Random(4)
    sent: Counter[str] = Counter()
    for number in range(int(60 * rate)):
        now = number / rate
        name = _choose(tracker, now, rng)
        sent[name] += 1
        ratio = max(baseline, failure_ratio if name == 'grey' else 0)
        tracker.record(name, 'route', now, failed=rng.random() < ratio)
    return sent


def test_grey_replica_gets_little() -> None:
    """A replica that fails 45 in 100 requests gets few of them.

    Its health check passes. It fails immediately, so it looked idle and fast,
    and got more than a third of all bookings, none of which may be sent again.
    """
    sent = _simulate(failure_ratio=0.45, baseline=0.004, rate=3)
    assert sent['grey'] < sent.total() / 4


def test_usual_failures_are_nobodys_fault() -> None:
    """All replicas stay in use if a route fails equally often at each.

    It fails one in seven requests.
    """
    sent = _simulate(failure_ratio=0.14, baseline=0.14, rate=5)
    assert min(sent.values()) > 0.25 * sent.total()


def test_replica_is_tried_again() -> None:
    """A replica that failed every request is tried again after a while."""
    tracker = FailureTracker()
    for now in range(4):
        tracker.record('grey', 'route', now, failed=True)
    assert tracker.list_failing(4) == {'grey'}
    assert not tracker.list_failing(12)
