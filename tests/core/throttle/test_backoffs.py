"""Backoffs that replicas asked for."""

from ryelatch_core.throttle import MAX_BACKOFF_SECONDS, BackoffTracker


def test_backoff_ends_with_its_time() -> None:
    book = BackoffTracker()
    book.begin('b-0', 3, 10)
    assert book.list_names(12.9) == {'b-0'}
    assert not book.list_names(13)
    assert not book.find_left('b-0', 13)


def test_shorter_backoff_ends_no_longer_one() -> None:
    """A second refusal, of a shorter backoff, sends requests too soon."""
    book = BackoffTracker()
    book.begin('b-0', 3, 10)
    book.begin('b-0', 0.25, 11)
    assert book.find_left('b-0', 11) == 2
    book.begin('b-0', 3, 12)
    assert book.find_left('b-0', 12) == 3


def test_backoff_of_no_time_is_none() -> None:
    book = BackoffTracker()
    book.begin('b-0', 0, 10)
    assert not book.list_names(10)


def test_backoff_of_a_year_is_cut_short() -> None:
    """A replica that names a year by mistake is lost for as long."""
    book = BackoffTracker()
    book.begin('b-0', 31_536_000, 10)
    assert book.find_left('b-0', 10) == MAX_BACKOFF_SECONDS


def test_new_life_inherits_no_backoff() -> None:
    """A replica that started again is left alone for what it said before."""
    book = BackoffTracker()
    book.begin('b-0+1', 3, 10)
    assert 'b-0+2' not in book.list_names(10)
    assert not book.find_left('b-0+2', 10)
