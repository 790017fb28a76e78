"""Client accounts keep their share while one of them surges.

Nine accounts send two to three requests per second each, and one sends eight
times as many, while a first replica has 40 places. The node has a concurrency
window of 40, and answers take a second.
"""

import heapq
import itertools
import random
from collections import Counter

import pytest

from ryelatch_core.admission import (
    AccountTracker,
    ConcurrencyWindows,
)

_WINDOW = 40
_USUAL_RATE = 2.5
_SMALL = [f'small-{number}' for number in range(9)]


def _open_window(rng: random.Random) -> ConcurrencyWindows:
    """Make windows with one of about forty, as it is during a surge."""
    windows = ConcurrencyWindows(rng.random)
    for _ in range(_WINDOW):
        windows.add('head')
    windows.record_first_event('head', 9, 1, 0)
    for _ in range(_WINDOW):
        windows.remove('head')
    return windows


def _simulate(surge: float, *, enforce_shares: bool) -> Counter[str]:
    """Count the requests of each account that are admitted within a minute."""
    rng = random.Random(1)
    windows, tracker = _open_window(rng), AccountTracker()
    rates = dict.fromkeys(_SMALL, _USUAL_RATE) | {'large': _USUAL_RATE * surge}
    sequence = itertools.count()
    events: list[tuple[float, int, str, str]] = []
    for account, rate in rates.items():
        at = rng.expovariate(rate)
        while at < 60:
            heapq.heappush(events, (at, next(sequence), 'come', account))
            at += rng.expovariate(rate)
    served: Counter[str] = Counter()
    while events:
        at, _, kind, account = heapq.heappop(events)
        if kind == 'end':
            windows.remove('head')
            tracker.remove(account)
            continue
        yields = enforce_shares and tracker.exceeds_share(account)
        if 'head' in windows.list_closed(yields=yields):
            continue
        windows.add('head')
        tracker.add(account)
        served[account] += 1
        duration = rng.uniform(0.5, 1.5)
        heapq.heappush(events, (at + duration, next(sequence), 'end', account))
    return served


def _sum_small(served: Counter[str]) -> int:
    return sum(served[name] for name in _SMALL)


def test_small_accounts_keep_their_share() -> None:
    quiet = _sum_small(_simulate(0.5, enforce_shares=True))
    shared = _sum_small(_simulate(8, enforce_shares=True))
    unshared = _sum_small(_simulate(8, enforce_shares=False))
    assert shared > 0.9 * quiet
    assert unshared < 0.8 * quiet


def test_surge_uses_what_others_leave() -> None:
    """No places stay empty for accounts that send no more than usual."""
    served = _simulate(8, enforce_shares=True)
    assert served.total() > 0.7 * _WINDOW * 60
    assert served['large'] > 2 * _USUAL_RATE * 60


@pytest.mark.parametrize('busy', [1, 10])
def test_even_accounts_are_not_heavy(busy: int) -> None:
    tracker = AccountTracker()
    for number, _ in itertools.product(range(busy), range(5)):
        tracker.add(f'account-{number}')
    assert not any(
        tracker.exceeds_share(f'account-{index}') for index in range(busy)
    )


def test_few_requests_are_not_heavy() -> None:
    """An account with two requests is not limited, with one other account."""
    tracker = AccountTracker()
    for account in ('one', 'one', 'other'):
        tracker.add(account)
    assert not tracker.exceeds_share('one')
