"""Tests for checking and choosing chains of engines."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ryelatch_core.pipeline import (
    Candidate,
    check_chain,
    choose_chain,
    split_prompt,
)


def _chain(
    *ranges: tuple[int, int], version: str = '1'
) -> tuple[Candidate, ...]:
    return tuple(
        Candidate(f'e{first}-{last}', 'z', first, last, version)
        for first, last in ranges
    )


@pytest.mark.parametrize(
    ('chain', 'reason'),
    [
        (_chain((0, 4), (5, 8)), 'gap'),
        (_chain((0, 4), (3, 8)), 'overlap'),
        (_chain((1, 8)), 'gap'),
        (_chain((0, 7)), 'gap'),
        (_chain((0, 9)), 'overlap'),
        (_chain((0, 4), (4, 4), (4, 8)), 'empty'),
        (_chain((0, 8), version='2'), 'version'),
        ((), 'gap'),
    ],
)
def test_wrong_chains_are_refused(
    chain: tuple[Candidate, ...], reason: str
) -> None:
    """Engines change their ranges while a chain is assembled.

    Each chain that would skip, repeat or mix layers is rejected before the
    first token.
    """
    assert check_chain(chain, 8, '1').unwrap_err().reason == reason


_OFFERS = st.lists(
    st.builds(
        Candidate,
        st.uuids().map(str),
        st.sampled_from(('z1', 'z2')),
        st.integers(0, 3),
        st.integers(1, 4),
        st.just('1'),
        st.floats(0, 10),
    ),
    max_size=7,
)


@given(_OFFERS)
def test_choice_is_whole_and_cheapest(offers: list[Candidate]) -> None:
    hops = {('z1', 'z2'): 1.5, ('z2', 'z1'): 1.5}
    chosen = choose_chain(offers, 4, '1', hops)
    possible = [
        chain
        for size in range(1, 5)
        for chain in itertools.permutations(offers, size)
        if check_chain(chain, 4, '1').is_ok()
    ]
    if not possible:
        assert chosen.is_err()
        return
    assert check_chain(chosen.unwrap(), 4, '1').is_ok()
    best = min(_cost(chain, hops) for chain in possible)
    assert _cost(chosen.unwrap(), hops) == pytest.approx(best)


def _cost(
    chain: tuple[Candidate, ...], hops: dict[tuple[str, str], float]
) -> float:
    pairs = itertools.pairwise(stage.zone for stage in chain)
    return sum(stage.cost for stage in chain) + sum(
        hops.get(pair, 0) for pair in pairs
    )


@given(st.integers(1, 100), st.integers(1, 20))
def test_chunks_tile_a_prompt(length: int, chunk: int) -> None:
    chunks = split_prompt(length, chunk)
    positions = [
        position for start, end in chunks for position in range(start, end)
    ]
    assert positions == list(range(length))
