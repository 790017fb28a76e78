"""Tests for revisions: order of arrival, rebasing, completeness."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from ryelatch_core.settings import (
    Account,
    Bundle,
    Index,
    Policy,
    Settings,
    digest_blob,
    join_bundle,
    rebase,
    should_apply,
    split_settings,
)


def _bundle(settings: Settings, revision: int = 1) -> Bundle:
    parts = split_settings(settings)
    digests = {path: digest_blob(blob) for path, blob in parts.items()}
    blobs = {digest_blob(blob): blob for blob in parts.values()}
    return Bundle(Index(revision, digests), blobs)


@given(st.lists(st.integers(min_value=0, max_value=50)))
def test_never_reverts_in_any_order(offered: list[int]) -> None:
    """Watch, poll and peers deliver revisions in any order and repeatedly.

    The revision in force only increases, and ends at the highest delivered.
    """
    current = 0
    seen = [current]
    for revision in offered:
        if should_apply(current, revision):
            current = revision
        seen.append(current)
    assert seen == sorted(seen)
    assert current == max([0, *offered])


def test_settings_survive_cutting_and_joining() -> None:
    settings = Settings(
        policy=Policy(weight=3),
        accounts={
            'a': Account(accounts={'b': Account(policy=Policy(queue=1))})
        },
    )
    assert join_bundle(_bundle(settings)).unwrap() == settings


def test_half_a_revision_is_refused() -> None:
    """A part is missing or was altered in transit.

    Applied partially, an account could lose its limits, so the complete
    revision is rejected.
    """
    bundle = _bundle(Settings(accounts={'a': Account()}))
    assert join_bundle(Bundle(bundle.index, {})).is_err()
    altered = dict.fromkeys(bundle.blobs, b'\x80')
    assert join_bundle(Bundle(bundle.index, altered)).is_err()


_PARTS = st.dictionaries(
    st.sampled_from(('a', 'b', 'c', 'd')), st.sampled_from(('1', '2', '3'))
)


@given(_PARTS, _PARTS, _PARTS)
def test_rebase_loses_no_edit(
    base: dict[str, str],
    mine: dict[str, str],
    theirs: dict[str, str],
) -> None:
    """Two operators edit the same base in all possible ways.

    Either some part conflicts, or the result has the changes of both.
    """
    rebased = rebase(base, mine, Index(2, theirs))
    paths = [*base, *mine, *theirs]
    conflicting = {
        path
        for path in paths
        if mine.get(path) != base.get(path)
        and theirs.get(path) != base.get(path)
        and mine.get(path) != theirs.get(path)
    }
    if conflicting:
        assert set(rebased.unwrap_err().parts) == conflicting
        return
    merged = rebased.unwrap()
    for path in paths:
        changed = theirs if mine.get(path) == base.get(path) else mine
        assert merged.get(path) == changed.get(path)


def test_index_keeps_its_mark() -> None:
    index = Index(1, {})
    assert replace(index, mark='m').mark == 'm'
