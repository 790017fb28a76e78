"""Replicas that are slower than others, at a load of few requests."""

from collections import Counter

from ryelatch_core.fleet import DurationTracker

_NAMES = ('one', 'two', 'three')
_USUAL = 0.03


def _play(
    book: DurationTracker,
    begin: float,
    seconds: float,
    slow: float = _USUAL,
) -> Counter[str]:
    """Send a request each half second; to one replica it may take longer."""
    sent: Counter[str] = Counter()
    for number in range(int(seconds * 2)):
        now = begin + number / 2
        name = _choose(book, sent, now)
        sent[name] += 1
        book.record(name, slow if name == 'one' else _USUAL, now)
    return sent


def _choose(book: DurationTracker, sent: Counter[str], now: float) -> str:
    return min(_NAMES, key=lambda one: (book.rank(one, now), sent[one]))


def test_replica_that_hung_once_is_tried_again() -> None:
    """One request hangs for three seconds, and the replica is well since."""
    book = DurationTracker()
    book.record('one', 3, 100)
    assert not _play(book, 100, 10)['one']
    assert _play(book, 110, 60)['one'] > 20


def test_slow_replica_is_rarely_asked() -> None:
    """One of three replicas takes twelve times as long as the others."""
    assert _play(DurationTracker(), 100, 300, 12 * _USUAL)['one'] < 30


def test_replica_that_is_gone_is_forgotten() -> None:
    """A replica hung and was replaced by one of the same name."""
    book = DurationTracker()
    book.record('one', 3, 100)
    book.keep({'two'})
    assert book.rank('one', 100) == 0
