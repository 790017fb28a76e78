"""Refused clients retry at different times.

Sixty clients are refused within a second, while ten places per second become
free. If all retried at the same time, they would be refused again.
"""

import itertools
import random

from ryelatch_core.admission import (
    RetryScheduler,
)


def _make_plan(places: int) -> RetryScheduler:
    plan = RetryScheduler()
    for number in range(places * 6):
        plan.record_start(number / places)
    return plan


def test_turns_come_at_the_pace_of_places() -> None:
    """Each refused client retries later than those refused before it."""
    plan = _make_plan(10)
    turns = [plan.assign_delay(6, 60, 0.5) for _ in range(30)]
    gaps = [later - earlier for earlier, later in itertools.pairwise(turns)]
    assert min(gaps) * 4 > 1
    assert max(gaps) * 5 < 3


def test_nobody_waits_longer_than_it_would() -> None:
    """No delay exceeds a third of the time left; the later ones are spread."""
    plan = _make_plan(10)
    rng = random.Random(1)
    turns = [plan.assign_delay(6, 18, rng.random()) for _ in range(300)]
    assert max(turns) <= 6
    late = sorted(turns[100:])
    assert late[0] * 2 < 9
    assert late[-1] * 2 > 11


def test_turns_begin_anew_after_a_surge() -> None:
    """A client refused an hour after a surge gets a short delay."""
    plan = _make_plan(10)
    for _ in range(100):
        plan.assign_delay(6, 18, 0.5)
    assert plan.assign_delay(3600, 18, 0.5) <= 2


def test_places_of_urgent_ones_are_not_promised() -> None:
    """Twenty places per second go to urgent requests, four to others."""
    plan = _make_plan(20)
    for number in range(24):
        plan.record_start(number / 4, priority=1)
    delays = [plan.assign_delay(6, 60, 0.5, priority=1) for _ in range(10)]
    gaps = [later - earlier for earlier, later in itertools.pairwise(delays)]
    assert min(gaps) * 10 >= 9
    urgent = [plan.assign_delay(6, 60, 0.5) for _ in range(2)]
    assert urgent[1] - urgent[0] <= 1 / 4
