"""More requests than the engines can serve, decided by what each node sees.

The pattern: several nodes send to one first replica with so many slots, which
queues half as many more and refuses the rest. Clients come unevenly, four
times as many as there are places for; a usual answer takes three seconds. The
figures are those of a played day on which first events came after 1.3 s and
nearly none in time.
"""

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

import pytest

from ryelatch_core.fleet import ConcurrencyWindows

SLOTS = 96
QUEUE = 48
ANSWER_SECONDS = 3.0
OBJECTIVE = 0.5
READ_SECONDS = 0.05
CAPACITY = SLOTS / ANSWER_SECONDS
SHARES = (1, 1, 1, 2, 2, 3, 4, 5, 6)


@dataclass
class Head:
    """A first replica that starts requests in the order in which they come."""

    slots: int = SLOTS
    busy: int = 0
    waiting: deque[tuple[float, int]] = field(default_factory=deque)


@dataclass
class Play:
    """What became of the requests.

    :param in_time: first events within the objective, by second.
    :param most: requests at the first replica, at most, by second.
    """

    in_time: Counter[int] = field(default_factory=Counter)
    refused: int = 0
    most: Counter[int] = field(default_factory=Counter)


def _arrive(
    rates: Iterable[float],
    shares: tuple[int, ...],
    chance: random.Random,
) -> list[tuple[float, int]]:
    """List arrivals and their nodes; one rate a second."""
    found: list[tuple[float, int]] = []
    for second, rate in enumerate(rates):
        at = second + chance.expovariate(rate)
        while at < second + 1:
            found.append((at, chance.choices(range(len(shares)), shares)[0]))
            at += chance.expovariate(rate)
    return found


def _play(
    rates: list[float],
    *,
    limited: bool = True,
    shares: tuple[int, ...] = SHARES,
    seed: int = 1,
) -> Play:
    """Play arrivals against one first replica."""
    chance = random.Random(seed)
    nodes = [ConcurrencyWindows(chance.random) for _ in shares]
    head, play = Head(), Play()
    order = itertools.count()
    events: list[tuple[float, int, str, int]] = [
        (at, next(order), 'come', node)
        for at, node in _arrive(rates, shares, chance)
    ]
    heapq.heapify(events)

    def start(at: float, came: float, node: int) -> None:
        head.busy += 1
        first = at - came + READ_SECONDS
        nodes[node].record_first_event('head', first, OBJECTIVE, at)
        play.in_time[int(at)] += first <= OBJECTIVE
        lasts = ANSWER_SECONDS * chance.uniform(0.3, 1.7)
        heapq.heappush(events, (at + lasts, next(order), 'end', node))

    while events:
        at, _, what, node = heapq.heappop(events)
        if what == 'end':
            head.busy -= 1
            nodes[node].remove('head')
            if head.waiting:
                came, waiter = head.waiting.popleft()
                start(at, came, waiter)
            continue
        if limited and 'head' in nodes[node].list_closed():
            play.refused += 1
        elif head.busy < head.slots:
            nodes[node].add('head')
            start(at, at, node)
        elif len(head.waiting) < QUEUE:
            nodes[node].add('head')
            head.waiting.append((at, node))
        else:
            nodes[node].record_refusal('head', at)
            play.refused += 1
        taken = head.busy + len(head.waiting)
        play.most[int(at)] = max(play.most[int(at)], taken)
    return play


def test_usual_load_is_not_limited() -> None:
    """Half of what fits comes; nobody is refused."""
    assert _play([CAPACITY / 2] * 30).refused == 0


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_surge_keeps_what_the_engines_can_do(seed: int) -> None:
    """Four times as many come as there are places for, for 14 seconds.

    Without windows the queue is never empty and every first event is late.
    """
    rates = [CAPACITY / 2] * 6 + [CAPACITY * 4] * 14
    limited = _play(rates, seed=seed)
    free = _play(rates, limited=False, seed=seed)
    served = sum(limited.in_time[second] for second in range(10, 20))
    assert served > 0.7 * CAPACITY * 10
    assert sum(free.in_time[second] for second in range(10, 20)) < 0.1 * served


def test_window_settles_after_a_surge_begins() -> None:
    """The queue is short a few seconds into a surge, and stays so."""
    play = _play([CAPACITY / 2] * 6 + [CAPACITY * 3] * 24)
    assert max(play.most[second] for second in range(10, 30)) <= SLOTS * 1.25


def test_window_opens_after_a_surge() -> None:
    """What fits is served again in full when a surge is over."""
    rates = [CAPACITY * 4] * 10 + [CAPACITY * 0.8] * 20
    play = _play(rates)
    served = sum(play.in_time[second] for second in range(18, 30))
    assert served > 0.9 * 0.8 * CAPACITY * 12


def test_more_nodes_than_slots() -> None:
    """Two hundred nodes share the slots; one request of each is too many."""
    play = _play(
        [CAPACITY / 2] * 6 + [CAPACITY * 4] * 30, shares=tuple([1] * 200)
    )
    served = sum(play.in_time[second] for second in range(20, 36))
    assert served > 0.4 * CAPACITY * 16


def test_late_requests_leave_room_for_others() -> None:
    """A window is nearly full; those who come for the first time go first."""
    windows = ConcurrencyWindows(random.Random(1).random)
    for _ in range(10):
        windows.add('head')
    windows.record_refusal('head', 1)
    windows.remove('head')
    windows.remove('head')
    windows.remove('head')
    windows.remove('head')
    assert 'head' not in windows.list_closed()
    assert 'head' in windows.list_closed(yields=True)


def test_requests_sent_together_shrink_once() -> None:
    """Ten requests that were sent before the window shrank are late too."""
    windows = ConcurrencyWindows(random.Random(1).random)
    for _ in range(20):
        windows.add('head')
    for step in range(10):
        windows.record_first_event('head', 1.0, OBJECTIVE, 1 + step / 100)
    assert windows.read_limit('head') == pytest.approx(17)
