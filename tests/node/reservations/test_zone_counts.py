"""The controller of a zone counts its decisions by rank of priority."""

import asyncio
from dataclasses import dataclass, field

from core_admission import LAYERS, get_path, make_controller, make_copy
from ryelatch_core.admission import PlaceOutcome, sum_outcomes
from ryelatch_core.events import LineLog, UsageTracker
from ryelatch_node.reservations._frames import (
    AnyReply,
    Enqueue,
    GrantReply,
    QueueReply,
    RefusalReply,
    Release,
    Reserve,
    Terms,
)
from ryelatch_node.reservations._zone import (
    ZoneAdmission,
    ZoneCapacity,
    ZoneSession,
)
from ryelatch_node.tasks import Tasks
from virtual.loop import VirtualClock, run

_LEARNED_SECONDS = 0.3
"""By then a new controller refuses by the rate at which places are freed."""


@dataclass(eq=False)
class _Zone:
    """The admission of a zone with room for one request, and a session."""

    replies: list[AnyReply] = field(default_factory=list)
    lines: list[bytes] = field(default_factory=list)
    usage: UsageTracker = field(default_factory=UsageTracker)
    admission: ZoneAdmission = field(init=False)
    session: ZoneSession = field(init=False)

    def __post_init__(self) -> None:
        """Create the admission over one copy of the model."""
        copy = make_copy(0, tokens=100)
        capacity = ZoneCapacity({each.name: each for each in copy}, LAYERS)
        clock = VirtualClock()
        self.admission = ZoneAdmission(
            clock,
            self.usage,
            make_controller(copy),
            lambda: capacity,
            Tasks(LineLog('node-a', clock, self._write), 'reservations'),
        )
        self.session = self.admission.open(self.replies.append)

    def reserve(self, number: int, rank: int) -> None:
        """Ask for the only path."""
        frame = Reserve(number, _make_terms(rank, 2), get_path(0))
        self.admission.handle(self.session, frame)

    def enqueue(self, number: int, rank: int, start_in: float = 2) -> None:
        """Ask for a place."""
        frame = Enqueue(number, _make_terms(rank, start_in))
        self.admission.handle(self.session, frame)

    def release(self, number: int) -> None:
        """End a request."""
        self.admission.handle(self.session, Release(number))

    def read_counts(self) -> dict[int, dict[PlaceOutcome, int]]:
        """Return what was counted, by rank."""
        sums = sum_outcomes(self.usage.counts)
        return {rank: dict(counts) for rank, counts in sums.items()}

    def _write(self, line: bytes) -> int:
        self.lines.append(line)
        return len(line)


def _make_terms(rank: int, start_in: float) -> Terms:
    return Terms(rank, 'shop', 90, False, start_in, 10, 5, 5)


def test_each_decision_counts_for_its_rank() -> None:
    """Requests of three ranks want the only place of a zone."""

    async def scenario() -> None:
        zone = _Zone()
        zone.reserve(0, rank=2)
        zone.enqueue(1, rank=0, start_in=5)
        await asyncio.sleep(_LEARNED_SECONDS)
        zone.enqueue(2, rank=1, start_in=0)
        zone.release(0)
        assert [type(reply) for reply in zone.replies] == [
            GrantReply,
            QueueReply,
            RefusalReply,
            GrantReply,
        ]
        assert zone.read_counts() == {
            0: {PlaceOutcome.QUEUED: 1, PlaceOutcome.GRANTED_LATER: 1},
            1: {PlaceOutcome.REFUSED: 1},
            2: {PlaceOutcome.GRANTED: 1},
        }

    run(scenario())


def test_place_at_once_does_not_count_as_late() -> None:
    """A request that asks to wait finds a free place at once."""

    async def scenario() -> None:
        zone = _Zone()
        zone.enqueue(0, rank=3)
        assert zone.read_counts() == {3: {PlaceOutcome.GRANTED: 1}}

    run(scenario())


def test_asking_for_room_in_vain_is_not_counted() -> None:
    """A request that found no room waits next, and is counted then."""

    async def scenario() -> None:
        zone = _Zone()
        zone.reserve(0, rank=0)
        zone.reserve(1, rank=1)
        assert zone.read_counts() == {0: {PlaceOutcome.GRANTED: 1}}

    run(scenario())


def test_decisions_write_no_lines() -> None:
    """In a surge, a line for each place would push out the others."""

    async def scenario() -> None:
        zone = _Zone()
        for number in range(100):
            zone.enqueue(number, rank=0, start_in=number % 2)
        await asyncio.sleep(_LEARNED_SECONDS)
        assert any(isinstance(reply, GrantReply) for reply in zone.replies)
        assert any(isinstance(reply, RefusalReply) for reply in zone.replies)
        assert not zone.lines

    run(scenario())
