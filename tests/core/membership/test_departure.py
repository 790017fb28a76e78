"""Time limits on requests to replicas that are leaving."""

import pytest

from ryelatch_core.membership import (
    CONNECT_TIMEOUT_SECONDS,
    STORE_OVERDUE_SECONDS,
    compute_departure_bounds,
)

_BOUNDS = [(2.0, 3.0), (3.0, 4.0), (2.0, 1.0), (5.0, 9.0)]


@pytest.mark.parametrize(('bound', 'steady'), _BOUNDS)
def test_old_list_and_way_stay_within_the_bound(
    bound: float,
    steady: float,
) -> None:
    """A request chosen from the oldest list allowed arrives in time."""
    bounds = compute_departure_bounds(bound, steady)
    assert bounds.max_age + CONNECT_TIMEOUT_SECONDS < bound
    assert bounds.max_age > STORE_OVERDUE_SECONDS


@pytest.mark.parametrize(('bound', 'steady'), _BOUNDS)
def test_kept_entry_is_left_in_time(
    bound: float,
    steady: float,
) -> None:
    """A removed entry looks like one that expired in an outage.

    If it was removed just before the outage, its replica may be leaving. It is
    kept no longer than the time for which the bound does not hold.
    """
    bounds = compute_departure_bounds(bound, steady)
    assert bounds.retention + CONNECT_TIMEOUT_SECONDS < steady


def test_live_replicas_have_time_to_come_back() -> None:
    """Entries reappear within two seconds, if the platform allows that long.

    With the shorter time of small fleets, the slowest entries reappear 0.2 s
    too late.
    """
    assert compute_departure_bounds(3, 4).retention == pytest.approx(2.5)
    assert compute_departure_bounds(2, 3).retention == pytest.approx(2.3)


def test_small_bound_leaves_time_to_look() -> None:
    """A small bound must not lead to calls to the store without a pause."""
    assert compute_departure_bounds(0.5, 0.5).max_age == pytest.approx(0.8)
    assert compute_departure_bounds(0.5, 0.5).retention == 0
