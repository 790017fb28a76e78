"""Replicas that asked for rest."""

from ryelatch_core.throttle import LONGEST_REST, RestBook


def test_rest_ends_with_its_time() -> None:
    book = RestBook()
    book.ask('b-0', 3, 10)
    assert book.list_resting(12.9) == {'b-0'}
    assert not book.list_resting(13)
    assert not book.find_left('b-0', 13)


def test_shorter_rest_does_not_end_a_longer_one() -> None:
    """A second refusal, of a shorter rest, sends requests too soon."""
    book = RestBook()
    book.ask('b-0', 3, 10)
    book.ask('b-0', 0.25, 11)
    assert book.find_left('b-0', 11) == 2
    book.ask('b-0', 3, 12)
    assert book.find_left('b-0', 12) == 3


def test_rest_of_no_time_is_none() -> None:
    book = RestBook()
    book.ask('b-0', 0, 10)
    assert not book.list_resting(10)


def test_rest_of_a_year_is_asked_about_before() -> None:
    """A replica that names a year by mistake is lost for as long."""
    book = RestBook()
    book.ask('b-0', 31_536_000, 10)
    assert book.find_left('b-0', 10) == LONGEST_REST


def test_new_life_inherits_no_rest() -> None:
    """A replica that started again is left alone for what it said before."""
    book = RestBook()
    book.ask('b-0+1', 3, 10)
    assert 'b-0+2' not in book.list_resting(10)
    assert not book.find_left('b-0+2', 10)
