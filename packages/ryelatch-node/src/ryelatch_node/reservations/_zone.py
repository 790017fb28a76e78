"""Admission to the replicas of one service in one zone, for all nodes."""

import asyncio
import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import assert_never

from ryelatch_core.admission import (
    AdmissionController,
    Granted,
    PlaceOutcome,
    Queued,
    Refused,
    ReplicaCapacity,
    ReservationRequest,
    name_outcome,
)
from ryelatch_core.events import UsageTracker
from ryelatch_core.kernel import Clock
from ryelatch_node.reservations._frames import (
    MAX_SECONDS,
    AnyFrame,
    AnyReply,
    Begin,
    BusyReply,
    Enqueue,
    GrantReply,
    Place,
    QueueReply,
    RefusalReply,
    Release,
    ReplicaLoad,
    Reserve,
    Restore,
    Shortage,
    read_terms,
)
from ryelatch_node.tasks import Tasks

TICK_SECONDS = 0.05
"""Interval at which waiting requests are looked at if no place is freed."""

CAPACITY_SECONDS = 0.25
"""Age at which the capacities of the replicas are computed anew."""


@dataclass(frozen=True)
class ZoneCapacity:
    """What the replicas of a zone hold.

    :param layers: number of layers of the model.
    """

    replicas: dict[str, ReplicaCapacity]
    layers: int


@dataclass(eq=False)
class ZoneSession:
    """The requests of one node.

    :param reply: sends a reply to the node.
    """

    name: str
    reply: Callable[[AnyReply], None]
    identities: dict[str, int] = field(default_factory=dict)


@dataclass(eq=False)
class ZoneAdmission:
    """Controls admission to a zone and delivers the decisions to the nodes.

    :param measure: returns what the replicas of the zone hold.
    """

    clock: Clock
    usage: UsageTracker
    controller: AdmissionController
    measure: Callable[[], ZoneCapacity]
    tasks: Tasks
    _numbers: 'itertools.count[int]' = field(default_factory=itertools.count)
    _sessions: dict[str, ZoneSession] = field(default_factory=dict)
    _owners: dict[str, ZoneSession] = field(default_factory=dict)
    _ranks: dict[str, int] = field(default_factory=dict)
    _capacity: ZoneCapacity = ZoneCapacity({}, 0)
    _measured: float = float('-inf')
    _ticking: bool = False

    @property
    def idle(self) -> bool:
        """Whether no node has a session."""
        return not self._sessions

    def open(self, reply: Callable[[AnyReply], None]) -> ZoneSession:
        """Open the session of a node.

        :param reply: sends a reply to the node.
        """
        session = ZoneSession(f'{next(self._numbers)}', reply)
        self._sessions[session.name] = session
        return session

    def close(self, session: ZoneSession) -> None:
        """End a session, and release all that its node had reserved."""
        self._sessions.pop(session.name, None)
        for identity in tuple(session.identities):
            self._release(session, identity)
        self._admit_waiting()

    def handle(self, session: ZoneSession, frame: AnyFrame) -> None:
        """Handle a message of a node."""
        now = self.clock.monotonic()
        self._refresh(now)
        match frame:
            case Reserve():
                self._reserve(session, frame, now)
            case Enqueue():
                self._enqueue(session, frame, now)
            case Restore():
                identity = self._register(session, frame)
                request = read_terms(frame.terms, identity, now)
                self.controller.restore(request, frame.path, now)
            case Place():
                identity = _identify(session, frame.number)
                self.controller.place(identity, frame.path, now)
                self._admit_waiting()
            case Release():
                self._release(session, _identify(session, frame.number))
                self._admit_waiting()
            case Begin() | Shortage():
                self._record_observation(session, frame, now)
            case _:
                assert_never(frame)

    def _record_observation(
        self, session: ZoneSession, frame: Begin | Shortage, now: float
    ) -> None:
        if isinstance(frame, Shortage):
            self.controller.record_shortage(frame.replica, now)
            return
        identity = _identify(session, frame.number)
        self.controller.record_delay(identity, frame.seconds, begun=frame.begun)
        if frame.begun:
            self._admit_waiting()

    def _reserve(
        self, session: ZoneSession, frame: Reserve, now: float
    ) -> None:
        identity = self._register(session, frame)
        # A request that asks anew waits no longer.
        self.controller.release(identity, now)
        request = read_terms(frame.terms, identity, now)
        if self.controller.reserve(request, frame.path, now):
            self._count(identity, PlaceOutcome.GRANTED)
            load = self._list_load(request, now)
            session.reply(GrantReply(frame.number, load))
            return
        self._unregister(session, identity)
        waiting = len(self.controller.queue)
        load = self._list_load(request, now)
        session.reply(BusyReply(frame.number, load, waiting))

    def _enqueue(
        self, session: ZoneSession, frame: Enqueue, now: float
    ) -> None:
        identity = self._register(session, frame)
        request = read_terms(frame.terms, identity, now)
        self._deliver(self.controller.enqueue(request, now), now, identity)
        if identity in self.controller.queue:
            self._count(identity, PlaceOutcome.QUEUED)
            self._start_ticking()

    def _admit_waiting(self) -> None:
        now = self.clock.monotonic()
        self._deliver(self.controller.admit_waiting(now), now)

    def _deliver(
        self,
        decisions: Sequence[Granted | Queued | Refused],
        now: float,
        arrived: str = '',
    ) -> None:
        """Send decisions to the nodes that own the requests.

        :param arrived: the request that has just asked, and has not waited.
        """
        for decision in decisions:
            session = self._owners[decision.identity]
            number = session.identities[decision.identity]
            match decision:
                case Granted():
                    at_once = decision.identity == arrived
                    self._count(
                        decision.identity,
                        PlaceOutcome.GRANTED
                        if at_once
                        else PlaceOutcome.GRANTED_LATER,
                    )
                    self._reply_granted(session, decision.identity, now)
                case Queued():
                    session.reply(QueueReply(number, decision.wait))
                case Refused():
                    self._count(decision.identity, PlaceOutcome.REFUSED)
                    self._unregister(session, decision.identity)
                    delay = min(decision.retry_after, MAX_SECONDS)
                    session.reply(RefusalReply(number, delay))

    def _register(
        self, session: ZoneSession, frame: Reserve | Enqueue | Restore
    ) -> str:
        identity = _identify(session, frame.number)
        session.identities[identity] = frame.number
        self._owners[identity] = session
        self._ranks[identity] = frame.terms.priority
        return identity

    def _unregister(self, session: ZoneSession, identity: str) -> None:
        session.identities.pop(identity, None)
        self._owners.pop(identity, None)
        self._ranks.pop(identity, None)

    def _release(self, session: ZoneSession, identity: str) -> None:
        self.controller.release(identity, self.clock.monotonic())
        self._unregister(session, identity)

    def _refresh(self, now: float) -> None:
        if now - self._measured >= CAPACITY_SECONDS:
            self._measured = now
            self._capacity = self.measure()
            self.controller.update(
                self._capacity.replicas, self._capacity.layers
            )

    def _reply_granted(
        self, session: ZoneSession, identity: str, now: float
    ) -> None:
        """Tell a node that a request which waited has a place."""
        reservation = self.controller.ledger.find(identity)
        if reservation is not None:
            load = self._list_load(reservation.request, now)
            session.reply(GrantReply(session.identities[identity], load))

    def _list_load(
        self, request: ReservationRequest, now: float
    ) -> tuple[ReplicaLoad, ...]:
        """List the load of all replicas, as far as it concerns a request.

        The request may use the room that is held for it.
        """
        controller = self.controller
        ledger = controller.ledger
        full = controller.list_full(0, now, request.gap)
        closed = controller.list_closed(request.patience)
        held = ledger.unplaced_tokens - ledger.read_unplaced(request.identity)
        return tuple(
            ReplicaLoad(
                name,
                ledger.requests[name],
                ledger.tokens[name],
                0
                if name in full
                else _count_free(capacity.tokens - ledger.tokens[name] - held),
                0
                if name in closed
                else max(0, capacity.slots - ledger.entries[name]),
                controller.delays.predict(name),
            )
            for name, capacity in self._capacity.replicas.items()
        )

    def _start_ticking(self) -> None:
        if not self._ticking:
            self._ticking = True
            self.tasks.spawn(self._tick())

    async def _tick(self) -> None:
        """Decide on waiting requests until none is left."""
        try:
            while self.controller.queue:
                await asyncio.sleep(TICK_SECONDS)
                self._refresh(self.clock.monotonic())
                self._admit_waiting()
        finally:
            self._ticking = False

    def _count(self, identity: str, outcome: PlaceOutcome) -> None:
        self.usage.count(*name_outcome(self._ranks[identity], outcome))


def _count_free(tokens: float) -> int:
    return max(0, int(tokens))


def _identify(session: ZoneSession, number: int) -> str:
    return f'{session.name}/{number}'
