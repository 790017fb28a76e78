"""Concurrency windows under overload, with each node's local view only.

Several nodes send to one first replica, which queues half as many requests as
it has slots and refuses the rest. Clients arrive unevenly, four times as many
as there are slots for, and a typical answer takes three seconds. Without
windows, first events came after 1.3 s, and nearly none of them in time.
"""

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

import pytest

from ryelatch_core.admission import (
    ConcurrencyWindows,
)

SLOTS = 96
QUEUE = 48
ANSWER_SECONDS = 3.0
OBJECTIVE = 0.5
READ_SECONDS = 0.05
CAPACITY = SLOTS / ANSWER_SECONDS
CLIENT_SHARES = (1, 1, 1, 2, 2, 3, 4, 5, 6)


@dataclass
class FirstReplica:
    """A first replica that starts requests in their order of arrival."""

    slots: int = SLOTS
    busy: int = 0
    waiting: deque[tuple[float, int]] = field(default_factory=deque)


@dataclass
class Result:
    """Counts of the requests of a simulation.

    :param in_time: first events within the objective, by second.
    :param max_requests: most requests at the first replica, by second.
    """

    in_time: Counter[int] = field(default_factory=Counter)
    refused: int = 0
    max_requests: Counter[int] = field(default_factory=Counter)


def _arrive(
    rates: Iterable[float],
    shares: tuple[int, ...],
    rng: random.Random,
) -> list[tuple[float, int]]:
    """List arrivals with their nodes; each rate applies for a second."""
    found: list[tuple[float, int]] = []
    for second, rate in enumerate(rates):
        at = second + rng.expovariate(rate)
        while at < second + 1:
            found.append((at, rng.choices(range(len(shares)), shares)[0]))
            at += rng.expovariate(rate)
    return found


def _simulate(
    rates: list[float],
    *,
    limited: bool = True,
    shares: tuple[int, ...] = CLIENT_SHARES,
    seed: int = 1,
) -> Result:
    """Simulate arrivals at one first replica."""
    rng = random.Random(seed)
    nodes = [ConcurrencyWindows(rng.random) for _ in shares]
    first_replica, result = FirstReplica(), Result()
    sequence = itertools.count()
    events: list[tuple[float, int, str, int]] = [
        (at, next(sequence), 'come', node)
        for at, node in _arrive(rates, shares, rng)
    ]
    heapq.heapify(events)

    def start(at: float, arrived_at: float, node: int) -> None:
        first_replica.busy += 1
        first = at - arrived_at + READ_SECONDS
        nodes[node].record_first_event('head', first, OBJECTIVE, at)
        result.in_time[int(at)] += first <= OBJECTIVE
        duration = ANSWER_SECONDS * rng.uniform(0.3, 1.7)
        heapq.heappush(events, (at + duration, next(sequence), 'end', node))

    while events:
        at, _, kind, node = heapq.heappop(events)
        if kind == 'end':
            first_replica.busy -= 1
            nodes[node].remove('head')
            if first_replica.waiting:
                arrived_at, waiter = first_replica.waiting.popleft()
                start(at, arrived_at, waiter)
            continue
        if limited and 'head' in nodes[node].list_closed():
            result.refused += 1
        elif first_replica.busy < first_replica.slots:
            nodes[node].add('head')
            start(at, at, node)
        elif len(first_replica.waiting) < QUEUE:
            nodes[node].add('head')
            first_replica.waiting.append((at, node))
        else:
            nodes[node].record_refusal('head', at)
            result.refused += 1
        taken = first_replica.busy + len(first_replica.waiting)
        result.max_requests[int(at)] = max(result.max_requests[int(at)], taken)
    return result


def test_usual_load_is_not_limited() -> None:
    """No request is refused at half of the capacity."""
    assert _simulate([CAPACITY / 2] * 30).refused == 0


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_surge_keeps_what_the_engines_can_do(seed: int) -> None:
    """Most of the capacity stays in use in time at four times the capacity.

    Without windows the queue is never empty and every first event is late.
    """
    rates = [CAPACITY / 2] * 6 + [CAPACITY * 4] * 14
    limited = _simulate(rates, seed=seed)
    unlimited = _simulate(rates, limited=False, seed=seed)
    served = sum(limited.in_time[second] for second in range(10, 20))
    assert served > 0.7 * CAPACITY * 10
    assert (
        sum(unlimited.in_time[second] for second in range(10, 20))
        < 0.1 * served
    )


def test_window_settles_after_a_surge_begins() -> None:
    """The queue is short a few seconds into a surge, and stays short."""
    result = _simulate([CAPACITY / 2] * 6 + [CAPACITY * 3] * 24)
    assert (
        max(result.max_requests[second] for second in range(10, 30))
        <= SLOTS * 1.25
    )


def test_window_opens_after_a_surge() -> None:
    """Requests below the capacity are served in full again after a surge."""
    rates = [CAPACITY * 4] * 10 + [CAPACITY * 0.8] * 20
    result = _simulate(rates)
    served = sum(result.in_time[second] for second in range(18, 30))
    assert served > 0.9 * 0.8 * CAPACITY * 12


def test_more_nodes_than_slots() -> None:
    """Windows work with two hundred nodes and fewer slots.

    One request of each node would be too many.
    """
    result = _simulate(
        [CAPACITY / 2] * 6 + [CAPACITY * 4] * 30, shares=tuple([1] * 200)
    )
    served = sum(result.in_time[second] for second in range(20, 36))
    assert served > 0.4 * CAPACITY * 16


def test_late_requests_leave_room_for_others() -> None:
    """New requests have priority over retried ones in a nearly full window."""
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
    """Late requests from before a window shrank don't shrink it again."""
    windows = ConcurrencyWindows(random.Random(1).random)
    for _ in range(20):
        windows.add('head')
    for step in range(10):
        windows.record_first_event('head', 1.0, OBJECTIVE, 1 + step / 100)
    assert windows.read_limit('head') == pytest.approx(17)
