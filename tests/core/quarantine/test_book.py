"""Which requests are refused as replicas end under them."""

import itertools

import pytest

from ryelatch_core.quarantine import CrashTracker, Crashes, RequestPhase, StoreWrite, StoredCrashes
from ryelatch_core.quarantine._book import (
    CLEARED_SECONDS,
    LEFT_SECONDS,
    MOST_CASES,
    REWRITE_SECONDS,
    SUSPECT_SECONDS,
    TELL_SECONDS,
)
from ryelatch_core.quarantine._causes import (
    KEPT_SECONDS,
    REFUSED_SECONDS,
    SETTLE_SECONDS,
)

_NOW = 100.0
_LATER = _NOW + SETTLE_SECONDS


def _make(patience: float = 0.5) -> CrashTracker:
    return CrashTracker(patience)


def _end(book: CrashTracker, digest: str, *incarnations: str, now: float = _NOW) -> None:
    for life in incarnations:
        book.record_crash(digest, life, RequestPhase.BEGUN, now)


def _wait_and_end(book: CrashTracker, digest: str, *incarnations: str) -> None:
    for life in incarnations:
        book.record_crash(digest, life, RequestPhase.WAITING, _NOW)


def _store(digest: str, *begun: str, revision: int = 5) -> StoredCrashes:
    return StoredCrashes(digest, Crashes(frozenset(begun)), revision)


def _refuses(book: CrashTracker, digest: str, now: float = _NOW) -> bool:
    book.evaluate(now)
    return book.find_refused(digest) is not None


def test_third_end_under_a_request_refuses_it() -> None:
    book = _make()
    _end(book, 'a', 'r-1', 'r-2')
    assert not _refuses(book, 'a')
    _end(book, 'a', 'r-3')
    assert _refuses(book, 'a')
    found = book.find_refused('a')
    assert found is not None
    assert found.incarnations == {'r-1', 'r-2', 'r-3'}
    assert not _refuses(book, 'b')


def test_one_end_counts_once() -> None:
    """Two copies of a request are lost with the same replica.

    Counted as two ends, two losses would refuse a request that many ask for.
    """
    book = _make()
    _end(book, 'a', 'r-1', 'r-1', 'r-2')
    book.put(_store('a', 'r-1', 'r-2'), _NOW)
    assert not _refuses(book, 'a', _LATER)


def test_ends_that_nodes_saw_are_added_up() -> None:
    """Each attempt of a client comes to another node, which sees one end."""
    book = _make()
    _end(book, 'a', 'r-1')
    book.put(_store('a', 'r-2', 'r-3'), _NOW)
    assert _refuses(book, 'a')


def test_lives_of_one_entry_count_each() -> None:
    """A replica is back under its entry after seconds, and ends again."""
    book = _make()
    _end(book, 'a', 'r-1+100', 'r-1+200', 'r-1+300')
    assert _refuses(book, 'a')


def test_cause_clears_those_that_waited() -> None:
    """Twenty requests wait at a replica when another one ends it.

    They are resent to the replica that is best for all, as is the one that
    ends it, three times in a second. None of the others is to blame.
    """
    book = _make()
    _wait_and_end(book, 'waiting', 'r-1', 'r-2', 'r-3')
    assert not _refuses(book, 'waiting')
    # Its node tells of it within the time that is left for that.
    book.put(_store('cause', 'r-1', 'r-2', 'r-3'), _NOW)
    assert not _refuses(book, 'waiting', _LATER)
    assert _refuses(book, 'cause')


def test_waiting_counts_less_than_begun() -> None:
    """Each replica was lost as another request had just begun there.

    None of those has ended three, but each speaks for itself more than one
    that still waited at all of them.
    """
    book = _make()
    _wait_and_end(book, 'waiting', 'r-1', 'r-2', 'r-3')
    _end(book, 'b', 'r-1')
    _end(book, 'c', 'r-2')
    assert not _refuses(book, 'waiting', _LATER)
    _end(book, 'a', 'r-4')
    _wait_and_end(book, 'waiting', 'r-5', 'r-6')
    assert _refuses(book, 'waiting', _LATER)


def test_unread_request_may_be_the_cause() -> None:
    """A prompt ends the replicas that read it, before their answers begin."""
    book = _make()
    _wait_and_end(book, 'a', 'r-1', 'r-2', 'r-3')
    assert not _refuses(book, 'a')
    assert _refuses(book, 'a', _LATER)


def test_request_that_ran_elsewhere_is_cleared() -> None:
    """A request loses its replica twice, by chance, and is then answered.

    Long streams on VMs that are taken back lose many replicas over the day.
    """
    book = _make()
    _end(book, 'a', 'r-1', 'r-2')
    assert book.is_suspect('a', _NOW)
    book.record_run('a', _NOW)
    _end(book, 'a', 'r-3', 'r-4', 'r-5', now=_NOW + CLEARED_SECONDS - 1)
    assert not _refuses(book, 'a', _NOW + CLEARED_SECONDS - 1)
    assert not book.is_suspect('a', _NOW)


def test_run_of_long_ago_clears_nothing() -> None:
    """New software of the replicas ends under what the old one answered."""
    book = _make()
    book.record_run('a', _NOW)
    later = _NOW + CLEARED_SECONDS
    _end(book, 'a', 'r-1', 'r-2', 'r-3', now=later)
    assert _refuses(book, 'a', later)


def test_run_takes_back_what_others_told() -> None:
    book = _make()
    book.put(_store('a', 'r-1', 'r-2', revision=7), _NOW)
    book.record_run('a', _NOW)
    assert book.list_due_writes(_NOW) == [StoreWrite('a', None, 7)]


def test_first_end_is_told_after_a_while() -> None:
    """Most that lose a replica run on elsewhere at once, and cost no call."""
    book = _make(patience=0.5)
    _end(book, 'a', 'r-1')
    assert not book.list_due_writes(_NOW + TELL_SECONDS / 2)
    told = StoreWrite('a', Crashes(frozenset(('r-1',))), 0)
    assert book.list_due_writes(_NOW + TELL_SECONDS) == [told]
    book.record_run('a', _NOW)
    assert not book.list_due_writes(_NOW + TELL_SECONDS)


def test_second_end_is_told_at_once() -> None:
    """The next attempt comes to another node, a second later."""
    book = _make()
    book.put(_store('a', 'r-1', revision=7), _NOW)
    _end(book, 'a', 'r-2')
    told = StoreWrite('a', Crashes(frozenset(('r-1', 'r-2'))), 7)
    assert book.list_due_writes(_NOW) == [told]
    book.put(_store('a', 'r-1', 'r-2', revision=8), _NOW)
    assert not book.list_due_writes(_NOW)


def test_deleted_object_lets_a_request_in() -> None:
    book = _make()
    _end(book, 'a', 'r-1', 'r-2')
    book.put(_store('a', 'r-1', 'r-2', 'r-3'), _NOW)
    assert _refuses(book, 'a')
    book.remove('a', _NOW)
    assert not _refuses(book, 'a')
    assert not book.list_due_writes(_NOW + KEPT_SECONDS)


def test_what_the_store_lost_is_written_again() -> None:
    """The store comes back from an older copy, without the last objects.

    A request that is refused would end three more replicas until it is known
    again. What only was suspected is nothing to write again.
    """
    book = _make(patience=1)
    book.put(_store('a', 'r-1', 'r-2', 'r-3'), _NOW)
    book.put(_store('b', 'r-1'), _NOW)
    book.replace((), _NOW)
    assert _refuses(book, 'a')
    assert not book.list_due_writes(_NOW)
    lost = StoreWrite('a', Crashes(frozenset(('r-1', 'r-2', 'r-3'))), 0)
    assert book.list_due_writes(_NOW + REWRITE_SECONDS) == [lost]
    book.put(_store('a', 'r-1', 'r-2', 'r-3', revision=2), _NOW)
    assert not book.list_due_writes(_NOW + REWRITE_SECONDS)


def test_own_ends_survive_a_new_list() -> None:
    book = _make()
    _end(book, 'a', 'r-1')
    book.put(_store('a', 'r-1'), _NOW)
    book.replace((), _NOW)
    _end(book, 'a', 'r-2', 'r-3')
    assert _refuses(book, 'a')


def test_older_revision_is_ignored() -> None:
    book = _make()
    book.put(_store('a', 'r-1', 'r-2', 'r-3', revision=9), _NOW)
    book.put(_store('a', 'r-1', revision=8), _NOW)
    assert _refuses(book, 'a')


@pytest.mark.parametrize(
    ('lives', 'lasts'),
    [
        (('r-1',), SUSPECT_SECONDS),
        (('r-1', 'r-2', 'r-3'), KEPT_SECONDS),
    ],
)
def test_ends_lapse(incarnations: tuple[str, ...], lasts: float) -> None:
    """Software is mended, and what ended it once may run again."""
    book = _make()
    _end(book, 'a', *incarnations)
    book.put(_store('a', *incarnations, revision=7), _NOW)
    assert not book.list_due_writes(_NOW + lasts - 1)
    assert book.list_due_writes(_NOW + lasts + 1) == [StoreWrite('a', None, 7)]


def test_refused_request_is_tried_again_later() -> None:
    """Replicas of a bad release end one after the other, whatever they run.

    What came meanwhile lost three of them, and would be refused for good.
    """
    book = _make()
    _end(book, 'a', 'r-1', 'r-2', 'r-3')
    later = _NOW + REFUSED_SECONDS
    assert _refuses(book, 'a', later - 1)
    assert not _refuses(book, 'a', later)
    book.record_run('a', later)
    _end(book, 'a', 'r-4', now=later + CLEARED_SECONDS)
    assert not _refuses(book, 'a', later + CLEARED_SECONDS)


def test_next_end_refuses_it_for_longer() -> None:
    book = _make()
    _end(book, 'a', 'r-1', 'r-2', 'r-3')
    later = _NOW + REFUSED_SECONDS
    _end(book, 'a', 'r-4', now=later)
    assert _refuses(book, 'a', later + REFUSED_SECONDS)
    assert not _refuses(book, 'a', later + 6 * REFUSED_SECONDS)


def test_one_of_many_explains_what_all_lost() -> None:
    """A service goes down and takes all along that many ask for.

    All of them would be refused, by all nodes, when it is back.
    """
    book = _make()
    _end(book, 'a', 'r-1', 'r-2', 'r-3', 'r-4')
    _end(book, 'b', 'r-2', 'r-3', 'r-4')
    _end(book, 'c', 'r-1', 'r-2', 'r-4', 'r-5')
    assert _refuses(book, 'a')
    assert not _refuses(book, 'b')
    assert not _refuses(book, 'c')


def test_several_causes_are_refused_each() -> None:
    """An account sends several requests that end replicas, each its own."""
    book = _make()
    _end(book, 'a', 'r-1', 'r-2', 'r-3')
    _end(book, 'b', 'r-4', 'r-5', 'r-6', 'r-3')
    _end(book, 'c', 'r-7', 'r-8', 'r-9')
    assert set(book.refused) == {'b', 'c'}
    _end(book, 'a', 'r-10')
    assert set(book.refused) == {'a', 'b', 'c'}


def test_object_of_a_lost_node_is_deleted() -> None:
    book = _make(patience=0.5)
    book.put(_store('a', 'r-1', revision=7), _NOW)
    assert not book.list_due_writes(_NOW + SUSPECT_SECONDS + 1)
    later = _NOW + SUSPECT_SECONDS + LEFT_SECONDS + 1
    assert book.list_due_writes(later) == [StoreWrite('a', None, 7)]


def test_suspects_are_bounded_and_refusals_kept() -> None:
    """An account sends a different request each time replicas end."""
    book = _make()
    _end(book, 'refused', 'r-1', 'r-2', 'r-3')
    for number in range(MOST_CASES + 10):
        _end(book, f'other-{number}', 'r-1')
    assert len(book) == MOST_CASES
    assert _refuses(book, 'refused')


def test_a_case_is_bounded() -> None:
    crashes = Crashes()
    for number in itertools.count():
        crashes = crashes.add(f'r-{number}', RequestPhase.BEGUN)
        if number > 100:
            break
    assert len(crashes.incarnations) < 20
