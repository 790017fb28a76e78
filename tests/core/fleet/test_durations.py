"""Slow replicas are avoided at a low request rate."""

from collections import Counter

from ryelatch_core.fleet import DurationTracker

_NAMES = ('one', 'two', 'three')
_USUAL_SECONDS = 0.03


def _simulate(
    tracker: DurationTracker,
    start: float,
    seconds: float,
    slow_seconds: float = _USUAL_SECONDS,
) -> Counter[str]:
    """Send two requests a second; the first replica may be slower.

    :param slow_seconds: duration of the requests at that replica.
    """
    sent: Counter[str] = Counter()
    for number in range(int(seconds * 2)):
        now = start + number / 2
        name = _choose(tracker, sent, now)
        sent[name] += 1
        tracker.record(
            name, slow_seconds if name == 'one' else _USUAL_SECONDS, now
        )
    return sent


def _choose(tracker: DurationTracker, sent: Counter[str], now: float) -> str:
    return min(_NAMES, key=lambda name: (tracker.rank(name, now), sent[name]))


def test_replica_that_hung_once_is_tried_again() -> None:
    """A replica is tried again after one request hung for three seconds."""
    tracker = DurationTracker()
    tracker.record('one', 3, 100)
    assert not _simulate(tracker, 100, 10)['one']
    assert _simulate(tracker, 110, 60)['one'] > 20


def test_slow_replica_is_rarely_asked() -> None:
    """A replica that takes twelve times as long as others gets few requests."""
    assert (
        _simulate(DurationTracker(), 100, 300, 12 * _USUAL_SECONDS)['one'] < 30
    )


def test_replica_that_is_gone_is_forgotten() -> None:
    """The duration of a hung replica is forgotten when it is replaced.

    The new replica has the same name.
    """
    tracker = DurationTracker()
    tracker.record('one', 3, 100)
    tracker.keep({'two'})
    assert tracker.rank('one', 100) == 0
