"""When refused clients come back.

The pattern: sixty clients are refused within a second, and places come free
at ten a second. Told the same time, all of them are refused again.
"""

import itertools
import random

from ryelatch_core.fleet import RetryScheduler


def _make_plan(places: int) -> RetryScheduler:
    plan = RetryScheduler()
    for number in range(places * 6):
        plan.record_start(number / places)
    return plan


def test_turns_come_at_the_pace_of_places() -> None:
    """Each one refused comes later than those before, while it can wait."""
    plan = _make_plan(10)
    turns = [plan.assign_delay(6, 60, 0.5) for _ in range(30)]
    gaps = [later - one for one, later in itertools.pairwise(turns)]
    assert min(gaps) * 4 > 1
    assert max(gaps) * 5 < 3


def test_nobody_waits_longer_than_it_would() -> None:
    """Beyond a third of what is left clients come back by themselves."""
    plan = _make_plan(10)
    chance = random.Random(1)
    turns = [plan.assign_delay(6, 18, chance.random()) for _ in range(300)]
    assert max(turns) <= 6
    late = sorted(turns[100:])
    assert late[0] * 2 < 9
    assert late[-1] * 2 > 11


def test_turns_begin_anew_after_a_surge() -> None:
    """The first one refused an hour later has no queue before it."""
    plan = _make_plan(10)
    for _ in range(100):
        plan.assign_delay(6, 18, 0.5)
    assert plan.assign_delay(3600, 18, 0.5) <= 2
