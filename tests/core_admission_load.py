"""Load on one zone over time, for tests of admission.

Requests arrive at random, occupy a copy of the model for a random time, and
come back once when they are told to. Nodes answer after a fixed latency.
"""

import functools
import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from core_admission import Decision, get_path, make_controller, make_copy
from ryelatch_core.admission import Granted, Refused, ReservationRequest

COPIES = 6
COPY_TOKENS = 8000
MEAN_TOKENS = 300
MEAN_SECONDS = 2.0
ROOM = COPIES * COPY_TOKENS / MEAN_TOKENS / MEAN_SECONDS
"""Requests per second that the zone can serve."""

LATENCY_SECONDS = 0.003
TICK_SECONDS = 0.05
START_SECONDS = 0.4
"""Time after which the answer to a new request would be late."""

RETRIED_START_SECONDS = 1.5
PATIENCE_SECONDS = 20.0

MAX_GAP_SECONDS = 0.2
"""Time after which the next arrival is drawn anew, as rates change."""


@dataclass(frozen=True, slots=True)
class Source:
    """Clients that send requests of one kind.

    :param rate: requests per second.
    :param factor: of the rate during the surge.
    """

    rate: float
    priority: int = 0
    account: str = 'shop'
    factor: float = 1


@dataclass(slots=True)
class Outcome:
    """What became of a request.

    :param refused_at: times of its refusals.
    :param overdue: seconds from the latest useful start to each decision that
        it waited for.
    """

    source: Source
    arrived_at: float
    granted_at: float | None = None
    refused_at: list[float] = field(default_factory=list)
    overdue: list[float] = field(default_factory=list)

    @property
    def in_time(self) -> bool:
        """Return whether it got a place without a refusal."""
        return self.granted_at is not None and not self.refused_at


class LoadedZone:
    """A zone, and the clients and nodes that use it.

    ``fullest`` is the largest fraction of a replica that was reserved.

    :param surge: begin and end of the surge, in seconds.
    """

    def __init__(
        self, sources: Iterable[Source], surge: tuple[float, float], seed: int
    ) -> None:
        self.outcomes: list[Outcome] = []
        self.now = 0.0
        self.fullest = 0.0
        self._surge = surge
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._open: dict[str, tuple[Outcome, ReservationRequest]] = {}
        self.controller = make_controller(
            itertools.chain.from_iterable(
                make_copy(number, COPY_TOKENS) for number in range(COPIES)
            )
        )
        for source in sources:
            self._schedule_arrival(source)

    def run(self, until: float) -> None:
        """Let time pass."""
        self._tick()
        while self._events[0][0] < until:
            self.now, _, act = heapq.heappop(self._events)
            act()

    def select(
        self, begin: float, end: float, accept: Callable[[Source], bool]
    ) -> list[Outcome]:
        """Return the requests of some sources that arrived in some time."""
        return [
            outcome
            for outcome in self.outcomes
            if begin <= outcome.arrived_at < end and accept(outcome.source)
        ]

    def _schedule(self, delay: float, act: Callable[[], None]) -> None:
        entry = (self.now + delay, next(self._numbers), act)
        heapq.heappush(self._events, entry)

    def _schedule_arrival(self, source: Source) -> None:
        begin, end = self._surge
        factor = source.factor if begin <= self.now < end else 1
        delay = self._rng.expovariate(source.rate * factor)
        if delay > MAX_GAP_SECONDS:
            self._schedule(
                MAX_GAP_SECONDS, lambda: self._schedule_arrival(source)
            )
        else:
            self._schedule(delay, lambda: self._arrive(source))

    def _arrive(self, source: Source) -> None:
        self._schedule_arrival(source)
        outcome = Outcome(source, self.now)
        self.outcomes.append(outcome)
        tokens = round(MEAN_TOKENS * self._rng.uniform(0.2, 1.8))
        self._ask(outcome, tokens)

    def _ask(self, outcome: Outcome, tokens: int) -> None:
        retried = bool(outcome.refused_at)
        start = RETRIED_START_SECONDS if retried else START_SECONDS
        request = ReservationRequest(
            f'{next(self._numbers)}',
            outcome.source.priority,
            outcome.source.account,
            tokens,
            retried,
            self.now + start,
            outcome.arrived_at + PATIENCE_SECONDS,
        )
        self._open[request.identity] = (outcome, request)
        path = self._choose_path(tokens)
        if path and self.controller.reserve(request, path, self.now):
            self._start(request.identity)
        else:
            self._deliver(self.controller.enqueue(request, self.now))

    def _choose_path(self, tokens: int) -> tuple[str, ...]:
        full = self.controller.list_full(tokens, self.now)
        full |= self.controller.list_closed(math.inf)
        paths = [get_path(number) for number in range(COPIES)]
        free = [path for path in paths if full.isdisjoint(path)]
        return self._rng.choice(free) if free else ()

    def _deliver(self, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Granted):
                self._record_wait(decision.identity)
                place = functools.partial(self._place, decision.identity)
                self._schedule(LATENCY_SECONDS, place)
            elif isinstance(decision, Refused):
                self._record_wait(decision.identity)
                self._refuse(decision)

    def _record_wait(self, identity: str) -> None:
        outcome, request = self._open[identity]
        outcome.overdue.append(self.now - request.start_by)

    def _place(self, identity: str) -> None:
        tokens = self.controller.ledger.tokens
        emptiest = min(
            range(COPIES), key=lambda number: tokens[f'first-{number}']
        )
        self.controller.place(identity, get_path(emptiest), self.now)
        self._start(identity)

    def _start(self, identity: str) -> None:
        outcome, _ = self._open[identity]
        outcome.granted_at = self.now
        reserved = max(self.controller.ledger.tokens.values())
        self.fullest = max(self.fullest, reserved / COPY_TOKENS)
        duration = self._rng.expovariate(1 / MEAN_SECONDS)
        self._schedule(duration, lambda: self._end(identity))

    def _end(self, identity: str) -> None:
        del self._open[identity]
        self.controller.release(identity, self.now)
        self._deliver(self.controller.admit_waiting(self.now))

    def _refuse(self, refusal: Refused) -> None:
        outcome, request = self._open.pop(refusal.identity)
        outcome.refused_at.append(self.now)
        if len(outcome.refused_at) == 1:
            self._schedule(
                refusal.retry_after, lambda: self._ask(outcome, request.tokens)
            )

    def _tick(self) -> None:
        if self.controller.queue:
            self._deliver(self.controller.admit_waiting(self.now))
        self._schedule(TICK_SECONDS, self._tick)


def get_share_in_time(outcomes: Iterable[Outcome]) -> float:
    """Return the fraction that got a place in time."""
    in_time = [outcome.in_time for outcome in outcomes]
    return sum(in_time) / len(in_time)


def get_share_served(outcomes: Iterable[Outcome]) -> float:
    """Return the fraction that got a place, in time or late."""
    served = [outcome.granted_at is not None for outcome in outcomes]
    return sum(served) / len(served)
