"""The limits that replicas named."""

import math

import pytest

from ryelatch_core.throttle import Heard, LimitBook


def test_newest_word_counts() -> None:
    book = LimitBook()
    assert book.hear('b-0', Heard(4.2, 10))
    assert not book.hear('b-0', Heard(5.4, 11))
    assert book.find_limit('b-0') == 5.4
    assert book.hear('b-0', Heard(None, 12))
    assert book.find_limit('b-0') is None


def test_older_word_that_comes_late_does_not_lift_a_limit() -> None:
    """An answer that began before the limit was named lifts it."""
    book = LimitBook()
    book.hear('b-0', Heard(4.2, 10))
    assert not book.hear('b-0', Heard(None, 9))
    assert book.find_limit('b-0') == 4.2


@pytest.mark.parametrize('nonsense', [math.nan, math.inf, -1.0])
def test_nonsense_leaves_a_limit_as_it_was(nonsense: float) -> None:
    book = LimitBook()
    book.hear('b-0', Heard(4.2, 10))
    assert not book.hear('b-0', Heard(nonsense, 11))
    assert book.find_limit('b-0') == 4.2


def test_word_of_a_replica_without_limit_takes_no_memory() -> None:
    book = LimitBook()
    assert not book.hear('b-0', Heard(None, 10))
    assert book.find('b-0') is None


def test_limits_end_with_the_lives_that_named_them() -> None:
    """A replica that starts again under its entry inherits a limit."""
    book = LimitBook()
    book.hear('b-0+1', Heard(4.2, 10))
    book.keep({'b-0+2'})
    assert book.list_limited() == frozenset()
