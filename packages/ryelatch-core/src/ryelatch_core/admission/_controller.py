"""Decides which requests of all nodes get room at the replicas of a zone.

A request that finds room on the path that its node has chosen gets it at once,
unless others that go first wait. Otherwise it waits while a place is expected
in time for it, or is refused with the time at which one is expected. Since the
answers in progress end all the time, the most urgent requests wait for
milliseconds only and no room has to stay free for them.
"""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ryelatch_core.admission._entries import EntryDelays
from ryelatch_core.admission._forecast import MIN_RATE, PlaceForecast
from ryelatch_core.admission._headroom import (
    ReplicaCapacity,
    count_free_slots,
    has_path,
    list_full,
    list_slow,
    list_usable,
    list_without_slot,
    measure_largest,
)
from ryelatch_core.admission._ledger import ReservationLedger
from ryelatch_core.admission._queue import AdmissionQueue
from ryelatch_core.admission._reservation import (
    Granted,
    Queued,
    Refused,
    ReservationRequest,
)
from ryelatch_core.admission._retry_delays import RetryScheduler
from ryelatch_core.admission._starvation import StarvationTracker

PREDICTION_SECONDS = 0.02
"""Minimum time between predictions of all waits, which take long."""

SHORTAGE_SECONDS = 0.2
"""Time for which a replica that refused for lack of memory counts as full.

By then some of the requests there have ended, and its memory is known to be
less than was computed.
"""


@dataclass(eq=False)
class AdmissionController:
    """Admission of the requests for one service in one availability zone.

    All times are in monotonic seconds.

    :param sample: returns random numbers from 0 to 1.
    """

    sample: Callable[[], float]
    ledger: ReservationLedger = field(default_factory=ReservationLedger)
    queue: AdmissionQueue = field(default_factory=AdmissionQueue)
    returns: RetryScheduler = field(default_factory=RetryScheduler)
    _shares: StarvationTracker = field(default_factory=StarvationTracker)
    delays: EntryDelays = field(init=False)
    _capacities: Mapping[str, ReplicaCapacity] = field(default_factory=dict)
    _layers: int = 0
    _max_tokens: float = math.inf
    _predicted_at: float = -math.inf
    _short_until: dict[str, float] = field(default_factory=dict)
    _forecast: PlaceForecast = field(default_factory=PlaceForecast)

    def __post_init__(self) -> None:
        """Create the delays, which go by what the ledger holds."""
        self.delays = EntryDelays(self.ledger.pending)

    def update(
        self, capacities: Mapping[str, ReplicaCapacity], layers: int
    ) -> None:
        """Set what the replicas hold at once, by name.

        :param layers: number of layers of the model; 0 if not known yet.
        """
        self._capacities = capacities
        self._layers = layers
        self.delays.keep(capacities)
        self._max_tokens = (
            measure_largest(capacities.values(), layers) if layers else math.inf
        )

    def reserve(
        self, request: ReservationRequest, path: tuple[str, ...], now: float
    ) -> bool:
        """Reserve room on a path if there is any and no other goes first.

        A request that has a reservation gives it up.

        :param path: names of the replicas, in order.
        """
        self._free(request.identity, now)
        starved = self._find_starved(now)
        if self.queue.blocks(request, self.ledger.account_tokens, starved):
            return False
        full = self.list_full(request.tokens, now, request.gap)
        closed = self.list_closed(request.patience)
        if path[0] in closed or not full.isdisjoint(path):
            return False
        if self.ledger.unplaced and not self._has_free_slot(request, full):
            return False
        self._grant(request, path, now)
        return True

    def enqueue(
        self, request: ReservationRequest, now: float
    ) -> list[Granted | Queued | Refused]:
        """Let a request wait for a place, if one is expected in time.

        A request that has a place and no path keeps it; one that has a path
        gives it up.

        :returns: the decision on it, and those on others that waited.
        """
        if self.ledger.is_unplaced(request.identity):
            return [Granted(request.identity)]
        self._free(request.identity, now)
        self.queue.add(request, now)
        decided = self._decide(now)
        if request.identity not in self.queue:
            return [*decided]
        position = self.queue.find_position(
            request.identity, self.ledger.account_tokens
        )
        wait = self._build_prediction(now)(request, position)
        if now + wait > request.start_by:
            return [*decided, self._refuse(request, now)]
        return [*decided, Queued(request.identity, wait)]

    def place(self, identity: str, path: tuple[str, ...], now: float) -> None:
        """Record the path on which a request with a reservation was sent."""
        self.ledger.place(identity, path, now)

    def restore(
        self, request: ReservationRequest, path: tuple[str, ...], now: float
    ) -> None:
        """Record a request that was admitted elsewhere and is in progress."""
        self.queue.remove(request.identity)
        self.ledger.add(request, path, now)

    def release(self, identity: str, now: float) -> None:
        """Record that a request has ended, or waits no longer."""
        self.queue.remove(identity)
        self._free(identity, now)

    def record_delay(
        self, identity: str, seconds: float, *, begun: bool
    ) -> None:
        """Record how long a request took to its first event.

        :param seconds: from when it was sent.
        :param begun: whether the event has arrived; if not, this is how long
            the request has waited so far.
        """
        reservation = self.ledger.find(identity)
        if reservation is None or not reservation.path or reservation.begun:
            return
        self.delays.record(reservation.path[0], seconds)
        if begun:
            self.ledger.begin(identity)

    def record_shortage(self, name: str, now: float) -> None:
        """Record that a replica refused a request for lack of memory."""
        self._short_until[name] = now + SHORTAGE_SECONDS

    def admit_waiting(self, now: float) -> list[Granted | Refused]:
        """Decide on the waiting requests; called when places are freed.

        :returns: those that get a place, and those for which none is expected
            in time any more.
        """
        decided = self._decide(now)
        if now < self._predicted_at + PREDICTION_SECONDS:
            return decided
        self._predicted_at = now
        return [*decided, *self._refuse_late(now)]

    def list_full(
        self, tokens: int, now: float, gap: float = math.inf
    ) -> frozenset[str]:
        """List the replicas without room for a request.

        They lack memory, or would become too slow.

        :param tokens: of the request.
        :param gap: longest time between two of its events, in seconds.
        """
        self._short_until = {
            name: until
            for name, until in self._short_until.items()
            if until > now
        }
        full = list_full(self._capacities, self.ledger, tokens)
        slow = list_slow(self._capacities, self.ledger, tokens, gap)
        return full | slow | self._short_until.keys()

    def list_closed(self, patience: float) -> frozenset[str]:
        """List the replicas at which no further path may begin.

        They have no free slot, or the first event would come late.

        :param patience: longest time to the first event, in seconds.
        """
        without_slot = list_without_slot(self._capacities, self.ledger)
        return without_slot | {
            name
            for name in self.ledger.pending
            if self.delays.exceeds(name, patience)
        }

    def _has_room(self, request: ReservationRequest, now: float) -> bool:
        full = self.list_full(request.tokens, now, request.gap)
        if not self._has_free_slot(request, full):
            return False
        usable = list_usable(self._capacities, full)
        closed = self.list_closed(request.patience)
        return has_path(usable, closed, self._layers)

    def _has_free_slot(
        self, request: ReservationRequest, full: frozenset[str]
    ) -> bool:
        free = count_free_slots(
            list_usable(self._capacities, full),
            self.ledger,
            lambda name: self.delays.count_room(name, request.patience),
        )
        return free > 0

    def _free(self, identity: str, now: float) -> None:
        if self.ledger.remove(identity) is not None:
            self._forecast.record_freed(now)

    def _grant(
        self, request: ReservationRequest, path: tuple[str, ...], now: float
    ) -> None:
        self.ledger.add(request, path, now)
        self._shares.record_grant(request.priority, now)
        self.returns.record_start(now, request.priority)
        self._forecast.record_grant(request.priority, now)

    def _decide(self, now: float) -> list[Granted | Refused]:
        """Give out the places that are free."""
        for _ in range(self.ledger.expire(now)):
            self._forecast.record_freed(now)
        decided: list[Granted | Refused] = [*self._refuse_hopeless(now)]
        while self.queue:
            admitted = self._choose_fitting(now)
            if admitted is None:
                break
            self.queue.remove(admitted.identity)
            self._grant(admitted, (), now)
            decided.append(Granted(admitted.identity))
        return decided

    def _choose_fitting(self, now: float) -> ReservationRequest | None:
        """Return the waiting request that gets the next place, if any.

        Smaller requests may overtake one that doesn't fit yet, until it has
        waited for half of its time; from then on, room is kept for it.
        """
        account_tokens = self.ledger.account_tokens
        first = self.queue.choose_first(account_tokens, self._find_starved(now))
        if self._has_room(first, now):
            return first
        smallest = min(
            (waiting.request for waiting in self.queue),
            key=lambda request: request.tokens,
        )
        if not self._has_room(smallest, now):
            return None
        too_large = first.tokens
        for waiting in self.queue.sort(account_tokens):
            request = waiting.request
            if request.tokens < too_large:
                if self._has_room(request, now):
                    return request
                too_large = request.tokens
            if now - waiting.since > request.start_by - now:
                return None
        return None

    def _refuse_hopeless(self, now: float) -> list[Refused]:
        """Refuse the waiting requests that a place would be of no use to.

        Their time is over, or they don't fit even on idle replicas and would
        keep all behind them from getting a place.
        """
        hopeless = [
            waiting.request
            for waiting in self.queue
            if waiting.request.tokens > self._max_tokens
            or waiting.request.start_by < now
        ]
        return [self._refuse(request, now) for request in hopeless]

    def _find_starved(self, now: float) -> int | None:
        return self._shares.find_starved(self.queue.list_priorities(), now)

    def _refuse_late(self, now: float) -> list[Refused]:
        """Refuse the waiting requests that no place is expected for in time."""
        late: list[ReservationRequest] = []
        if not self.queue:
            return []
        predict = self._build_prediction(now)
        ordered = self.queue.sort(self.ledger.account_tokens)
        for index, waiting in enumerate(ordered):
            request = waiting.request
            wait = predict(request, index + 1 - len(late))
            if now + wait > request.start_by:
                late.append(request)
        return [self._refuse(request, now) for request in late]

    def _build_prediction(
        self, now: float
    ) -> Callable[[ReservationRequest, int], float]:
        """Build a function that predicts the wait at a position.

        The client of a retried request has no further try, so its wait is the
        shortest that is possible.
        """
        starved = self._find_starved(now)
        starved_first = (
            None
            if starved is None
            else self.queue.choose_first(self.ledger.account_tokens, starved)
        )
        freed = max(self._forecast.read_rate(now), self._read_start_rate(now))
        next_place = 1 / max(MIN_RATE, freed)
        predict = self._forecast.build_prediction(
            self.queue.list_priorities(), freed, now
        )

        def predict_wait(request: ReservationRequest, position: int) -> float:
            if request is starved_first:
                return next_place
            if request.retried:
                return position * next_place
            return predict(request.priority, position)

        return predict_wait

    def _read_start_rate(self, now: float) -> float:
        """Return how many requests per second begin where there is memory.

        Places there are freed by first events, not by the ends of answers.
        """
        longest = next(iter(self.queue)).request
        full = self.list_full(longest.tokens, now, longest.gap)
        usable = list_usable(self._capacities, full)
        without_slot = list_without_slot(self._capacities, self.ledger)
        if not has_path(usable, without_slot, self._layers):
            return 0
        return sum(
            self.delays.read_rate(capacity.name)
            for capacity in usable
            if not capacity.layers.first and capacity.name not in without_slot
        )

    def _refuse(self, request: ReservationRequest, now: float) -> Refused:
        self.queue.remove(request.identity)
        self._shares.record_refusal(request.priority, now)
        left = max(0, request.expires - now)
        delay = self.returns.assign_delay(
            now, left, self.sample(), request.priority
        )
        return Refused(request.identity, delay)
