"""Revisions of the store, and eras in which they are given out again."""

import pytest

from ryelatch_core.eras import UNKNOWN_REVISION, StoreRevision


def test_later_era_is_newer_than_any_number() -> None:
    """A number that was given out again is taken for an old one."""
    assert StoreRevision(2, 1) > StoreRevision(1, 900)
    assert max(StoreRevision(1, 900), StoreRevision(2, 1)).era == 2
    assert StoreRevision(0, 0) > UNKNOWN_REVISION


def test_history_ends_with_its_era() -> None:
    """A watch goes on from a revision that the store has lost."""
    assert StoreRevision(1, 9).can_follow(StoreRevision(1, 9))
    assert StoreRevision(1, 10).can_follow(StoreRevision(1, 9))
    assert not StoreRevision(1, 8).can_follow(StoreRevision(1, 9))
    assert not StoreRevision(2, 10).can_follow(StoreRevision(1, 9))


def test_number_alone_is_not_comparable() -> None:
    """A revision is compared with the bare number of another one."""
    with pytest.raises(TypeError):
        assert StoreRevision(1, 9) > 8  # type: ignore[operator]
