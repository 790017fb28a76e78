"""Replicas to which connections were lost, and what became of them."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from types import SimpleNamespace
from typing import Any

import pytest

from ryelatch_core.events import LineLog
from ryelatch_core.fleet import Replica
from ryelatch_node.ports import Presence, Reachability
from ryelatch_node.relay._crash_checks import (
    CHECK_SECONDS,
    FOLLOW_SECONDS,
    CrashChecks,
)
from virtual.loop import VirtualClock, run

_REPLICA = Replica('m-0', 'model', '127.0.0.1:1', 'zone-a', accelerator='big')
_LISTENS = Reachability.LISTENS
_REFUSED = Reachability.REFUSED


_HELD_SECONDS = 0.05
_RESTARTED_SECONDS = 0.35


def _make_always(found: Any) -> Callable[[float], Any]:
    return lambda _: found


def _end_after(seconds: float) -> Callable[[float], Reachability]:
    return lambda at: _REFUSED if at >= seconds else _LISTENS


_ACCEPT = _make_always(_LISTENS)
_REFUSE = _make_always(_REFUSED)
_BREAK = _make_always(Presence.UNKNOWN)
_RUN = _make_always(Presence.RUNNING)


@dataclass(eq=False)
class _Lost:
    """A replica to which a connection was lost.

    :param reach: returns what its address does, by the seconds since the loss.
    :param answer: returns what it answers then.
    :param takes: seconds that an answer takes.
    :param is_lost: whether this node has lost its links.
    """

    reach: Callable[[float], Reachability] = _ACCEPT
    answer: Callable[[float], Presence] = _BREAK
    takes: float = 0
    is_lost: bool = False
    throttled: bool = False
    leaving: bool = False
    replaced: set[str] = field(default_factory=set)
    suspected: list[str] = field(default_factory=list)
    questions: int = 0
    recorded: int = 0

    def __post_init__(self) -> None:
        """Create the checks."""
        self.clock = VirtualClock()
        self.since = self.clock.monotonic()
        replicas: Any = SimpleNamespace(
            incarnations=SimpleNamespace(
                list_crashed=lambda _: frozenset(self.replaced)
            ),
            replicas={_REPLICA.name: replace(_REPLICA, leaving=self.leaving)},
            suspect=lambda _, reason, full: self.suspected.append(reason),
        )
        commands: Any = SimpleNamespace(
            reach=self._reach, confirm=self._confirm, hold_connection=self._hold
        )
        links: Any = SimpleNamespace(
            explains_loss=self._explain, record_failed=lambda _: None
        )
        self.checks = CrashChecks(
            LineLog('node-a', self.clock, len),
            self.clock,
            commands,
            SimpleNamespace(table=None),  # type: ignore[arg-type]
            SimpleNamespace(is_throttled=lambda _: self.throttled),  # type: ignore[arg-type]
            replicas,
            links,
        )

    @property
    def seconds(self) -> float:
        """Seconds since the loss."""
        return self.clock.monotonic() - self.since

    def record(self) -> None:
        """Record a crash."""
        self.recorded += 1

    async def count(self, *, patient: bool = False) -> bool:
        """Count a run that was lost."""
        return await self.checks.count_crash(
            _REPLICA, self.record, patient=patient
        )

    async def _reach(self, _: Replica) -> Reachability:
        return self.reach(self.seconds)

    async def _confirm(self, *_: Any) -> Presence:
        self.questions += 1
        found = self.answer(self.seconds)
        await asyncio.sleep(self.takes)
        return found

    async def _hold(self, _: Replica, hold: Callable[[], Any]) -> bool:
        await hold()
        return self.reach(self.seconds + _HELD_SECONDS) is _LISTENS

    async def _explain(self, _: Replica) -> bool:
        return self.is_lost


@pytest.mark.parametrize('accepts', [0, 0.02, 0.1, 0.3])
def test_address_that_accepts_on_hides_no_crash(accepts: float) -> None:
    """The system ends connections before it stops listening."""

    async def play() -> None:
        lost = _Lost(_end_after(accepts))
        assert await lost.count(patient=True)
        assert lost.recorded == 1
        assert 'ended' in lost.suspected
        assert lost.seconds < CHECK_SECONDS

    run(play())


def test_run_without_suspicion_does_not_wait() -> None:
    """A sound request is held back for the fate of its replica."""

    async def play() -> None:
        lost = _Lost(_end_after(0.3))
        assert not await lost.count()
        assert not lost.seconds
        await asyncio.sleep(CHECK_SECONDS)
        assert lost.recorded == 1

    run(play())


@pytest.mark.parametrize('presence', [Presence.RESTARTED, Presence.GONE])
def test_next_process_is_no_proof(presence: Presence) -> None:
    """The next process listens at the address of the one that crashed."""

    async def play() -> None:
        lost = _Lost(answer=_make_always(presence))
        assert await lost.count()
        assert lost.recorded == 1

    run(play())


@pytest.mark.parametrize('presence', [Presence.RUNNING, Presence.ANSWERS])
def test_replica_that_answers_has_not_crashed(presence: Presence) -> None:
    """A cut connection counts as a crash as the replica ends later."""

    async def play() -> None:
        lost = _Lost(answer=_make_always(presence))
        assert not await lost.count(patient=True)
        lost.reach = _REFUSE
        assert await lost.checks.has_crashed(_REPLICA)
        assert not lost.recorded

    run(play())


def test_late_answer_without_a_start_is_no_proof() -> None:
    """A plain replica starts anew, and its answer is taken for a proof."""

    async def play() -> None:
        lost = _Lost(
            answer=lambda at: (
                Presence.ANSWERS
                if at >= _RESTARTED_SECONDS
                else Presence.UNKNOWN
            )
        )
        assert not await lost.count(patient=True)
        lost.replaced.add(_REPLICA.name)
        await asyncio.sleep(FOLLOW_SECONDS)
        assert lost.recorded == 1

    run(play())


def test_loss_after_a_question_needs_another_one() -> None:
    """A replica answers one loss's question, and crashes under the next."""

    async def play() -> None:
        lost = _Lost(
            _end_after(0.06),
            _RUN,
            takes=0.05,
        )
        first = asyncio.create_task(lost.count(patient=True))
        await asyncio.sleep(0.04)
        assert await lost.count(patient=True)
        await first
        assert lost.recorded == 2

    run(play())


def test_silent_replica_is_followed_to_its_end() -> None:
    """A replica stands still, loses a connection, and ends seconds later."""

    async def play() -> None:
        lost = _Lost(
            _end_after(2),
            _make_always(Presence.SILENT),
            takes=0.15,
        )
        assert not await lost.count(patient=True)
        assert 'no answer' in lost.suspected
        await asyncio.sleep(FOLLOW_SECONDS)
        assert lost.recorded == 1

    run(play())


def test_given_up_run_counts_if_its_replica_ends() -> None:
    """A client leaves a silent replica, which ends after that."""

    async def play() -> None:
        lost = _Lost(answer=_RUN)
        lost.checks.expect_crash(_REPLICA, lost.record)
        assert not await lost.checks.has_crashed(_REPLICA)
        lost.reach = _REFUSE
        assert await lost.checks.has_crashed(_REPLICA)
        assert lost.recorded == 1

    run(play())


def test_end_long_after_a_run_does_not_count() -> None:
    """A run that was given up long ago is blamed for a crash."""

    async def play() -> None:
        lost = _Lost(_REFUSE)
        lost.checks.expect_crash(_REPLICA, lost.record)
        await asyncio.sleep(FOLLOW_SECONDS)
        assert await lost.checks.has_crashed(_REPLICA)
        assert not lost.recorded

    run(play())


def test_given_up_run_of_a_leaver_does_not_count() -> None:
    """A replica leaves as announced, and what was given up there is blamed."""

    async def play() -> None:
        lost = _Lost(_REFUSE, leaving=True)
        lost.checks.expect_crash(_REPLICA, lost.record)
        assert await lost.checks.has_crashed(_REPLICA)
        assert not lost.recorded

    run(play())


def test_lost_links_are_no_crash() -> None:
    """A firewall refuses connections, and requests are blamed for it."""

    async def play() -> None:
        lost = _Lost(_REFUSE, is_lost=True)
        assert not await lost.count(patient=True)
        await asyncio.sleep(1)
        assert not lost.recorded

    run(play())


def test_limited_replica_gets_no_question() -> None:
    """A replica that limits its requests gets more of them by checks."""

    async def play() -> None:
        lost = _Lost(_end_after(0.3), throttled=True)
        assert await lost.count(patient=True)
        assert not lost.questions

    run(play())


def test_silent_replica_is_asked_nothing() -> None:
    """A replica that stands still gets a question from each stalled stream."""

    async def play() -> None:
        lost = _Lost()
        assert not await lost.checks.refuses_connections(_REPLICA)
        assert not lost.questions
        assert not lost.suspected

    run(play())


def test_unreachable_replica_holds_nothing_back() -> None:
    """Requests wait for a VM that doesn't respond at all."""

    async def play() -> None:
        lost = _Lost(_make_always(Reachability.UNKNOWN))
        assert not await lost.count(patient=True)
        assert not lost.seconds

    run(play())
