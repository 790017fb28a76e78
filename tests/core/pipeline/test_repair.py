"""Tests for the repair of missing layers."""

from hypothesis import given
from hypothesis import strategies as st

from ryelatch_core.pipeline import Holding, find_gaps, plan_repair


def test_gap_goes_to_the_range_held_by_most() -> None:
    holdings = [
        Holding('a', 0, 4),
        Holding('b', 0, 4),
        Holding('c', 8, 12),
        Holding('d', 8, 12),
        Holding('e', 8, 12, rate=2),
        Holding('f', 8, 12),
    ]
    move = plan_repair(holdings, 12)
    assert move is not None
    assert (move.name, move.first, move.last) == ('c', 4, 8)


def test_the_last_of_a_range_stays() -> None:
    assert plan_repair([Holding('a', 0, 4), Holding('b', 8, 12)], 12) is None


def test_spare_engine_is_taken_first() -> None:
    holdings = [Holding('a', 0, 4), Holding('b', 0, 4), Holding('s', 0, 0)]
    move = plan_repair(holdings, 8)
    assert move is not None
    assert (move.name, move.first, move.last) == ('s', 4, 8)


@given(
    st.lists(st.sampled_from(((0, 4), (4, 8), (8, 12), (0, 0))), max_size=12)
)
def test_orders_end_and_leave_no_mendable_gap(
    ranges: list[tuple[int, int]],
) -> None:
    """Moves are carried out one after the other until none is planned.

    The sequence must terminate, and no move may open a new gap.
    """
    holdings = {
        f'e{index}': Holding(f'e{index}', *layer_range)
        for index, layer_range in enumerate(ranges)
    }
    for _ in range(len(ranges) + 3):
        gaps = len(find_gaps(holdings.values(), 12))
        move = plan_repair(list(holdings.values()), 12)
        if move is None:
            break
        holdings[move.name] = Holding(move.name, move.first, move.last)
        assert len(find_gaps(holdings.values(), 12)) <= gaps
    assert move is None
