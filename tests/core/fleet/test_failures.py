"""Replicas that fail requests are found, left, and tried again."""

import random
from collections import Counter

from ryelatch_core.fleet import FailureTracker

_NAMES = ('good-1', 'grey', 'good-2')


def _choose(book: FailureTracker, now: float, draw: random.Random) -> str:
    failing = book.list_failing(now)
    return draw.choice([name for name in _NAMES if name not in failing])


def _play(fails: float, usual: float, rate: float) -> Counter[str]:
    """Send requests for a minute; one of three replicas fails some more.

    :param fails: share that it fails.
    :param usual: share that every replica fails.
    :param rate: requests of this node a second.
    """
    book = FailureTracker()
    draw = random.Random(4)
    sent: Counter[str] = Counter()
    for number in range(int(60 * rate)):
        now = number / rate
        name = _choose(book, now, draw)
        sent[name] += 1
        share = max(usual, fails if name == 'grey' else 0)
        book.record(name, 'route', now, failed=draw.random() < share)
    return sent


def test_grey_replica_gets_little() -> None:
    """One of three replicas fails 45 in 100 with its health check good.

    Failing at once it looked idle and fast, and got more than a third of
    all bookings, none of which may be sent again.
    """
    sent = _play(fails=0.45, usual=0.004, rate=3)
    assert sent['grey'] < sent.total() / 4


def test_usual_failures_are_nobodys_fault() -> None:
    """A route fails one in seven at every replica; none is left for it."""
    sent = _play(fails=0.14, usual=0.14, rate=5)
    assert min(sent.values()) > 0.25 * sent.total()


def test_replica_is_tried_again() -> None:
    """A replica failed everything and is well again."""
    book = FailureTracker()
    for now in range(4):
        book.record('grey', 'route', now, failed=True)
    assert book.list_failing(4) == {'grey'}
    assert not book.list_failing(12)
