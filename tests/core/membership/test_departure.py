"""The sum that bounds requests to replicas that have left."""

import pytest

from ryelatch_core.membership import (
    STORE_OVERDUE_SECONDS,
    CONNECT_TIMEOUT_SECONDS,
    compute_departure_bounds,
)

_BOUNDS = [(2.0, 3.0), (3.0, 4.0), (2.0, 1.0), (5.0, 9.0)]


@pytest.mark.parametrize(('bound', 'steady'), _BOUNDS)
def test_old_list_and_way_stay_within_the_bound(
    bound: float,
    steady: float,
) -> None:
    """A choice by the oldest list allowed arrives in time."""
    terms = compute_departure_bounds(bound, steady)
    assert terms.max_age + CONNECT_TIMEOUT_SECONDS < bound
    assert terms.max_age > STORE_OVERDUE_SECONDS


@pytest.mark.parametrize(('bound', 'steady'), _BOUNDS)
def test_kept_entry_is_left_in_time(
    bound: float,
    steady: float,
) -> None:
    """An entry that went just before an outage can't be told from a lapsed one.

    It is kept for no longer than the outage itself excuses.
    """
    terms = compute_departure_bounds(bound, steady)
    assert terms.retention + CONNECT_TIMEOUT_SECONDS < steady


def test_live_replicas_have_time_to_come_back() -> None:
    """They come back within two seconds where the platform allows for it.

    With the shorter time of small fleets, those that take the longest miss it
    by 0.2 s.
    """
    assert compute_departure_bounds(3, 4).retention == pytest.approx(2.5)
    assert compute_departure_bounds(2, 3).retention == pytest.approx(2.3)


def test_small_bound_leaves_time_to_look() -> None:
    """The store is not asked without a pause, however small the bound is."""
    assert compute_departure_bounds(0.5, 0.5).max_age == pytest.approx(0.8)
    assert compute_departure_bounds(0.5, 0.5).retention == 0
