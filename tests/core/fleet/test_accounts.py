"""One account sends many times its usual; the others keep their share.

The pattern: nine accounts of two to three requests a second each, and one
that sends eight times as many, while a first replica has places for forty.
The figures are those of a node with a window of forty and answers of a
second.
"""

import heapq
import itertools
import random
from collections import Counter

import pytest

from ryelatch_core.fleet import AccountTracker, ConcurrencyWindows

_WINDOW = 40
_USUAL = 2.5
_SMALL = [f'small-{number}' for number in range(9)]


def _open_window(chance: random.Random) -> ConcurrencyWindows:
    """Make a window of forty, as a surge leaves it."""
    windows = ConcurrencyWindows(chance.random)
    for _ in range(_WINDOW):
        windows.add('head')
    windows.record_first_event('head', 9, 1, 0)
    for _ in range(_WINDOW):
        windows.remove('head')
    return windows


def _play(surge: float, *, shares: bool) -> Counter[str]:
    """Count the requests of each account that get a place in a minute."""
    chance = random.Random(1)
    windows, book = _open_window(chance), AccountTracker()
    rates = dict.fromkeys(_SMALL, _USUAL) | {'large': _USUAL * surge}
    order = itertools.count()
    events: list[tuple[float, int, str, str]] = []
    for account, rate in rates.items():
        at = chance.expovariate(rate)
        while at < 60:
            heapq.heappush(events, (at, next(order), 'come', account))
            at += chance.expovariate(rate)
    served: Counter[str] = Counter()
    while events:
        at, _, what, account = heapq.heappop(events)
        if what == 'end':
            windows.remove('head')
            book.remove(account)
            continue
        yields = shares and book.exceeds_share(account)
        if 'head' in windows.list_closed(yields=yields):
            continue
        windows.add('head')
        book.add(account)
        served[account] += 1
        lasts = chance.uniform(0.5, 1.5)
        heapq.heappush(events, (at + lasts, next(order), 'end', account))
    return served


def _sum_small(served: Counter[str]) -> int:
    return sum(served[name] for name in _SMALL)


def test_small_accounts_keep_their_share() -> None:
    quiet = _sum_small(_play(0.5, shares=True))
    shared = _sum_small(_play(8, shares=True))
    unshared = _sum_small(_play(8, shares=False))
    assert shared > 0.9 * quiet
    assert unshared < 0.8 * quiet


def test_surge_uses_what_others_leave() -> None:
    """Places are not kept empty for accounts that send nothing more."""
    served = _play(8, shares=True)
    assert served.total() > 0.7 * _WINDOW * 60
    assert served['large'] > 2 * _USUAL * 60


@pytest.mark.parametrize('busy', [1, 10])
def test_even_accounts_are_not_heavy(busy: int) -> None:
    book = AccountTracker()
    for number, _ in itertools.product(range(busy), range(5)):
        book.add(f'account-{number}')
    assert not any(book.exceeds_share(f'account-{one}') for one in range(busy))


def test_few_requests_are_not_heavy() -> None:
    """One account has two requests, the other one."""
    book = AccountTracker()
    for account in ('one', 'one', 'other'):
        book.add(account)
    assert not book.exceeds_share('one')
