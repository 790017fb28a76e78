"""The limits that replicas named."""

import math

import pytest

from ryelatch_core.throttle import ReportedLimit, LimitTracker
from ryelatch_core.throttle._limits import KEPT_SECONDS


def test_newest_word_counts() -> None:
    book = LimitTracker()
    assert book.record_limit('b-0', ReportedLimit(4, 10))
    assert not book.record_limit('b-0', ReportedLimit(5, 11))
    assert book.find_limit('b-0') == 5
    assert book.record_limit('b-0', ReportedLimit(None, 12))
    assert book.find_limit('b-0') is None


def test_late_older_word_lifts_no_limit() -> None:
    """An answer that began before the limit was named lifts it."""
    book = LimitTracker()
    book.record_limit('b-0', ReportedLimit(4, 10))
    assert not book.record_limit('b-0', ReportedLimit(None, 9))
    assert book.find_limit('b-0') == 4


@pytest.mark.parametrize('nonsense', [math.nan, math.inf, -1.0])
def test_nonsense_leaves_a_limit_as_it_was(nonsense: float) -> None:
    book = LimitTracker()
    book.record_limit('b-0', ReportedLimit(4, 10))
    assert not book.record_limit('b-0', ReportedLimit(nonsense, 11))
    assert book.find_limit('b-0') == 4


def test_word_of_no_limit_takes_no_memory() -> None:
    book = LimitTracker()
    assert not book.record_limit('b-0', ReportedLimit(None, 10))
    assert book.find('b-0') is None


def test_limits_end_with_their_lives() -> None:
    """A replica that starts again under its entry inherits a limit."""
    book = LimitTracker()
    book.record_limit('b-0+1', ReportedLimit(4, 10))
    assert book.find_limit('b-0+2') is None
    book.keep({'b-0+2'}, 10 + KEPT_SECONDS)
    assert book.list_limited() == frozenset()


def test_limit_outlasts_a_lapsed_entry() -> None:
    """A replica in need is lost from the list for a while in an outage."""
    book = LimitTracker()
    book.record_limit('b-0', ReportedLimit(4, 10))
    book.keep((), 10 + KEPT_SECONDS / 2)
    assert book.find_limit('b-0') == 4


def test_limit_of_a_listed_replica_does_not_age() -> None:
    book = LimitTracker()
    book.record_limit('b-0', ReportedLimit(4, 10))
    book.keep({'b-0'}, 10 + 10 * KEPT_SECONDS)
    assert book.find_limit('b-0') == 4
