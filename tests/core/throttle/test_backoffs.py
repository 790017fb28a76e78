"""Backoffs that replicas have asked for."""

from ryelatch_core.throttle import MAX_BACKOFF_SECONDS, BackoffTracker


def test_backoff_ends_with_its_time() -> None:
    tracker = BackoffTracker()
    tracker.begin('b-0', 3, 10)
    assert tracker.list_names(12.9) == {'b-0'}
    assert not tracker.list_names(13)
    assert not tracker.find_left('b-0', 13)


def test_shorter_backoff_ends_no_longer_one() -> None:
    """A second refusal, with a shorter backoff, cuts the first one short."""
    tracker = BackoffTracker()
    tracker.begin('b-0', 3, 10)
    tracker.begin('b-0', 0.25, 11)
    assert tracker.find_left('b-0', 11) == 2
    tracker.begin('b-0', 3, 12)
    assert tracker.find_left('b-0', 12) == 3


def test_backoff_of_no_time_is_none() -> None:
    tracker = BackoffTracker()
    tracker.begin('b-0', 0, 10)
    assert not tracker.list_names(10)


def test_backoff_of_a_year_is_cut_short() -> None:
    """A replica that asks for a year by mistake gets no request for a year."""
    tracker = BackoffTracker()
    tracker.begin('b-0', 31_536_000, 10)
    assert tracker.find_left('b-0', 10) == MAX_BACKOFF_SECONDS


def test_new_life_inherits_no_backoff() -> None:
    """A restarted replica gets no request for a backoff of its last run."""
    tracker = BackoffTracker()
    tracker.begin('b-0+1', 3, 10)
    assert 'b-0+2' not in tracker.list_names(10)
    assert not tracker.find_left('b-0+2', 10)
