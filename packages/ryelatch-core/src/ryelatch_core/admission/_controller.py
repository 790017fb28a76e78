"""Decides which requests of all nodes get room at the replicas of a zone.

A request that finds room on the path that its node has chosen gets it at once,
unless others that go first wait. Otherwise it waits while a place is expected
in time for it, or is refused with the time at which one is expected. Since the
answers in progress end all the time, the most urgent requests wait for
milliseconds only and no room has to stay free for them.
"""

from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ryelatch_core.admission._headroom import (
    ReplicaCapacity,
    has_path,
    list_full,
    list_without_slot,
)
from ryelatch_core.admission._ledger import ReservationLedger
from ryelatch_core.admission._queue import FLOOR_INTERVAL, AdmissionQueue
from ryelatch_core.admission._rates import EventRate
from ryelatch_core.admission._reservation import (
    Granted,
    Queued,
    Refused,
    ReservationRequest,
)
from ryelatch_core.admission._retry_delays import RetryScheduler
from ryelatch_core.admission._window import ConcurrencyWindows

RATE_SECONDS = 1.0
"""Averaging time of the rates at which places are freed and granted."""

MIN_RATE = 0.5
"""Lower bound of the expected places per second, so that waits are finite."""

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
    windows: ConcurrencyWindows = field(init=False)
    _capacities: Mapping[str, ReplicaCapacity] = field(default_factory=dict)
    _layers: int = 0
    _short_until: dict[str, float] = field(default_factory=dict)
    _released: EventRate = field(
        default_factory=lambda: EventRate(RATE_SECONDS)
    )
    _granted: dict[int, EventRate] = field(
        default_factory=lambda: defaultdict(lambda: EventRate(RATE_SECONDS))
    )

    def __post_init__(self) -> None:
        """Create the windows, which count what the ledger holds."""
        self.windows = ConcurrencyWindows(self.sample, self.ledger.entries)

    def update(
        self, capacities: Mapping[str, ReplicaCapacity], layers: int
    ) -> None:
        """Set what the replicas hold at once, by name.

        :param layers: number of layers of the model.
        """
        self._capacities = capacities
        self._layers = layers
        self.windows.keep(capacities)

    def reserve(
        self, request: ReservationRequest, path: tuple[str, ...], now: float
    ) -> bool:
        """Reserve room on a path if there is any and no other goes first.

        :param path: names of the replicas, in order.
        """
        if self.queue.blocks(request, self.ledger.account_tokens):
            return False
        full = self.list_full(request.tokens, now)
        if path[0] in self.list_without_slot() or not full.isdisjoint(path):
            return False
        self._grant(request, path, now)
        return True

    def enqueue(
        self, request: ReservationRequest, now: float
    ) -> list[Granted | Queued | Refused]:
        """Let a request wait for a place, if one is expected in time.

        :returns: the decision on it, and those on others that waited.
        """
        self.queue.add(request, now)
        decided: list[Granted | Queued | Refused] = [*self.admit_waiting(now)]
        if request.identity in self.queue:
            wait = self.predict_wait(request, now)
            decided.append(Queued(request.identity, wait))
        return decided

    def place(self, identity: str, path: tuple[str, ...], now: float) -> None:
        """Record the path on which a request with a reservation was sent."""
        self.ledger.place(identity, path, now)

    def restore(
        self, request: ReservationRequest, path: tuple[str, ...], now: float
    ) -> None:
        """Record a request that was admitted elsewhere and is in progress."""
        self.ledger.add(request, path, now)

    def release(self, identity: str, now: float) -> None:
        """Record that a request has ended, or waits no longer."""
        self.queue.remove(identity)
        if self.ledger.remove(identity) is not None:
            self._released.record(now)

    def record_first_event(
        self, identity: str, seconds: float, objective: float, now: float
    ) -> None:
        """Record how long a request took to its first event.

        :param seconds: from when it was sent.
        :param objective: seconds within which its client expects the event.
        """
        reservation = self.ledger.find(identity)
        if reservation is not None and reservation.path:
            self.windows.record_first_event(
                reservation.path[0], seconds, objective, now
            )

    def record_shortage(self, name: str, now: float) -> None:
        """Record that a replica refused a request for lack of memory."""
        self._short_until[name] = now + SHORTAGE_SECONDS

    def admit_waiting(self, now: float) -> list[Granted | Refused]:
        """Decide on the waiting requests; called when places are freed.

        :returns: those that get a place, and those for which none is expected
            in time any more.
        """
        for identity in self.ledger.list_expired(now):
            self.ledger.remove(identity)
        decided: list[Granted | Refused] = []
        while self.queue:
            first = self.queue.sort(self.ledger.account_tokens)[0].request
            if not self._has_room(first, now):
                break
            self.queue.remove(first.identity)
            self._grant(first, (), now)
            decided.append(Granted(first.identity))
        return [*decided, *self._refuse_late(now)]

    def predict_wait(self, request: ReservationRequest, now: float) -> float:
        """Predict after how many seconds a waiting request gets a place."""
        ordered = self.queue.sort(self.ledger.account_tokens)
        identities = [waiting.request.identity for waiting in ordered]
        position = identities.index(request.identity) + 1
        return position / self._estimate_rate(request.priority, now)

    def list_full(self, tokens: int, now: float) -> frozenset[str]:
        """List the replicas without memory for a request of some tokens."""
        self._short_until = {
            name: until
            for name, until in self._short_until.items()
            if until > now
        }
        full = list_full(self._capacities, self.ledger, tokens)
        return full | self._short_until.keys()

    def list_without_slot(self) -> frozenset[str]:
        """List the replicas at which no further path may begin.

        They have no free slot, or first events from there come late.
        """
        without_slot = list_without_slot(self._capacities, self.ledger)
        return without_slot | self.windows.list_closed()

    def _has_room(self, request: ReservationRequest, now: float) -> bool:
        full = self.list_full(request.tokens, now)
        usable = (
            capacity
            for name, capacity in self._capacities.items()
            if name not in full
        )
        return has_path(usable, self.list_without_slot(), self._layers)

    def _grant(
        self, request: ReservationRequest, path: tuple[str, ...], now: float
    ) -> None:
        self.ledger.add(request, path, now)
        self.queue.record_grant(request)
        self.returns.record_start(now)
        self._granted[request.priority].record(now)

    def _refuse_late(self, now: float) -> list[Refused]:
        """Refuse the waiting requests that no place is expected for in time."""
        late = [
            waiting.request
            for position, waiting in enumerate(
                self.queue.sort(self.ledger.account_tokens), start=1
            )
            if now
            + position / self._estimate_rate(waiting.request.priority, now)
            > waiting.request.start_by
        ]
        for request in late:
            self.queue.remove(request.identity)
        return [self._refuse(request, now) for request in late]

    def _refuse(self, request: ReservationRequest, now: float) -> Refused:
        delay = self.returns.assign_delay(
            now, request.expires - now, self.sample(), request.priority
        )
        return Refused(request.identity, delay)

    def _estimate_rate(self, priority: int, now: float) -> float:
        """Estimate the places per second for the requests of a priority.

        More urgent requests that are yet to come take their places first, as
        many as they took of late.
        """
        freed = self._released.read(now)
        taken = sum(
            rate.read(now)
            for rank, rate in self._granted.items()
            if rank < priority
        )
        return max(MIN_RATE, freed / FLOOR_INTERVAL, freed - taken)
