"""Rate limits that replicas have announced."""

import math

import pytest

from ryelatch_core.throttle import LimitTracker, ReportedLimit
from ryelatch_core.throttle._limits import RETENTION_SECONDS


def test_newest_word_counts() -> None:
    tracker = LimitTracker()
    assert tracker.record_limit('b-0', ReportedLimit(4, 10))
    assert not tracker.record_limit('b-0', ReportedLimit(5, 11))
    assert tracker.find_limit('b-0') == 5
    assert tracker.record_limit('b-0', ReportedLimit(None, 12))
    assert tracker.find_limit('b-0') is None


def test_late_older_word_lifts_no_limit() -> None:
    """An answer that began before the limit was announced lifts it."""
    tracker = LimitTracker()
    tracker.record_limit('b-0', ReportedLimit(4, 10))
    assert not tracker.record_limit('b-0', ReportedLimit(None, 9))
    assert tracker.find_limit('b-0') == 4


@pytest.mark.parametrize('nonsense', [math.nan, math.inf, -1.0])
def test_nonsense_leaves_a_limit_as_it_was(nonsense: float) -> None:
    tracker = LimitTracker()
    tracker.record_limit('b-0', ReportedLimit(4, 10))
    assert not tracker.record_limit('b-0', ReportedLimit(nonsense, 11))
    assert tracker.find_limit('b-0') == 4


def test_word_of_no_limit_takes_no_memory() -> None:
    tracker = LimitTracker()
    assert not tracker.record_limit('b-0', ReportedLimit(None, 10))
    assert tracker.find('b-0') is None


def test_limits_end_with_their_lives() -> None:
    """A replica that restarts under the same entry inherits a limit."""
    tracker = LimitTracker()
    tracker.record_limit('b-0+1', ReportedLimit(4, 10))
    assert tracker.find_limit('b-0+2') is None
    tracker.keep({'b-0+2'}, 10 + RETENTION_SECONDS)
    assert tracker.list_limited() == frozenset()


def test_limit_outlasts_a_lapsed_entry() -> None:
    """In an outage an overloaded replica is not listed for a while."""
    tracker = LimitTracker()
    tracker.record_limit('b-0', ReportedLimit(4, 10))
    tracker.keep((), 10 + RETENTION_SECONDS / 2)
    assert tracker.find_limit('b-0') == 4


def test_limit_of_a_listed_replica_does_not_age() -> None:
    tracker = LimitTracker()
    tracker.record_limit('b-0', ReportedLimit(4, 10))
    tracker.keep({'b-0'}, 10 + 10 * RETENTION_SECONDS)
    assert tracker.find_limit('b-0') == 4
