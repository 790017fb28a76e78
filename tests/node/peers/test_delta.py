"""Differences between revisions, as peers send them."""

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
    split_settings,
)
from ryelatch_node.peers._delta import make_delta, merge_delta

_ACCOUNTS = st.dictionaries(
    st.sampled_from(('a', 'b', 'c')), st.integers(min_value=1, max_value=3)
)


def _bundle(weights: dict[str, int], revision: int) -> Bundle:
    accounts = {
        name: Account(policy=Policy(weight=weight))
        for name, weight in weights.items()
    }
    parts = split_settings(Settings(accounts=accounts))
    digests = {path: digest_blob(blob) for path, blob in parts.items()}
    blobs = {digest_blob(blob): blob for blob in parts.values()}
    return Bundle(Index(revision, digests, 'desk', mark='m'), blobs)


@given(_ACCOUNTS, _ACCOUNTS)
def test_merged_is_the_new_revision(
    before: dict[str, int],
    after: dict[str, int],
) -> None:
    old = _bundle(before, 4)
    new = _bundle(after, 5)
    merged = merge_delta(old, make_delta(old, new))
    assert merged.index == new.index
    assert join_bundle(merged) == join_bundle(new)


def test_a_change_is_small_in_a_large_tree() -> None:
    """If one of a thousand accounts changes, only its part is sent."""
    old = _bundle({f'account-{index}': 1 for index in range(1000)}, 4)
    weights = {f'account-{index}': 1 for index in range(1000)}
    new = _bundle(weights | {'account-7': 2}, 5)
    delta = make_delta(old, new)
    assert list(delta.changed) == ['accounts/account-7']
    assert len(delta.blobs) == 1
