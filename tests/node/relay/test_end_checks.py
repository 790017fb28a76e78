"""Answers that ended with their connections, of which replicas are asked."""

import asyncio
from dataclasses import dataclass, field, replace
from types import SimpleNamespace
from typing import Any

import pytest

from fake_clock import FakeClock
from ryelatch_core.fleet import Replica
from ryelatch_core.kernel import LagMeter
from ryelatch_node.ports import Presence
from ryelatch_node.relay._end_checks import AnswerEnd, EndChecks
from ryelatch_node.views._leaving import LeavingIncarnations

_REPLICA = Replica('m-0', 'model', '127.0.0.1:1', 'zone-a', accelerator='big')


@dataclass
class _Asked:
    """A replica that is asked, and what this node knows of it.

    :param answers: to the next questions; the last one stays.
    :param crashed: whether another incarnation has its place.
    :param missing: for how many seconds its entry is missing.
    """

    answers: list[Presence]
    crashed: bool = False
    missing: float = 0
    questions: int = 0
    permitted: bool = True
    listed: dict[str, Replica] = field(
        default_factory=lambda: {_REPLICA.name: _REPLICA}
    )

    def make_checks(self) -> EndChecks:
        """Make the checks that ask it."""
        self.clock = FakeClock()
        self.leaving = LeavingIncarnations(self.clock)
        crashed = frozenset((_REPLICA.name,) if self.crashed else ())
        replicas: Any = SimpleNamespace(
            replicas=self.listed,
            incarnations=SimpleNamespace(list_crashed=lambda _: crashed),
            leaving=self.leaving,
            find_missing=lambda _: self.missing,
        )
        commands: Any = SimpleNamespace(confirm=self._confirm)
        configuration: Any = SimpleNamespace(table=None)
        throttle: Any = SimpleNamespace(acquire_permit=self._permit)
        self.lag = LagMeter()
        return EndChecks(
            self.clock, commands, replicas, configuration, throttle, self.lag
        )

    async def _permit(self, _: Replica) -> bool:
        return self.permitted

    async def _confirm(self, *_: Any) -> Presence:
        self.questions += 1
        await asyncio.sleep(0)
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]


async def _find_end(
    asked: _Asked, checks: EndChecks, *, patient: bool = False
) -> AnswerEnd:
    return await checks.find_end(
        _REPLICA, asked.clock.monotonic(), patient=patient
    )


async def test_answers_that_end_at_once_ask_once() -> None:
    """A crash under many answers opens a connection for each of them."""
    asked = _Asked([Presence.GONE])
    checks = asked.make_checks()
    ends = await asyncio.gather(*(_find_end(asked, checks) for _ in range(90)))
    assert (set(ends), asked.questions) == ({AnswerEnd.GONE}, 1)


async def test_question_of_before_an_end_is_no_proof() -> None:
    """A replica that answered before it was killed counts as running."""
    asked = _Asked([Presence.RUNNING, Presence.GONE])
    checks = asked.make_checks()
    assert await _find_end(asked, checks) is AnswerEnd.RUNNING
    assert await _find_end(asked, checks) is AnswerEnd.GONE


async def test_silent_replica_is_asked_again() -> None:
    """An answer that nothing can replace is lost as its replica is silent."""
    asked = _Asked([Presence.UNKNOWN, Presence.UNKNOWN, Presence.RUNNING])
    checks = asked.make_checks()
    assert await _find_end(asked, checks) is AnswerEnd.UNKNOWN
    assert await _find_end(asked, checks, patient=True) is AnswerEnd.RUNNING


async def test_replica_in_need_is_not_asked() -> None:
    """A replica that wants nothing from this node gets questions."""
    asked = _Asked([Presence.RUNNING], permitted=False)
    checks = asked.make_checks()
    assert await _find_end(asked, checks) is AnswerEnd.UNKNOWN
    assert not asked.questions


@pytest.mark.parametrize(
    ('changes', 'end'),
    [
        ({'missing': 0.5}, AnswerEnd.GONE),
        ({'missing': 1.5}, AnswerEnd.LEFT),
        ({'missing': 1.5, 'crashed': True}, AnswerEnd.GONE),
        (
            {'listed': {_REPLICA.name: replace(_REPLICA, leaving=True)}},
            AnswerEnd.LEFT,
        ),
        ({'listed': {}}, AnswerEnd.GONE),
    ],
)
async def test_lost_replica_has_not_left(
    changes: dict[str, Any], end: AnswerEnd
) -> None:
    """A replica whose entry goes as it is killed counts as one that left."""
    asked = _Asked([Presence.GONE], **changes)
    checks = asked.make_checks()
    assert await _find_end(asked, checks) is end


async def test_dropped_replica_had_announced_to_leave() -> None:
    """A replica that left as announced counts as lost without its entry."""
    asked = _Asked([Presence.GONE], listed={})
    checks = asked.make_checks()
    asked.leaving.record_drop(replace(_REPLICA, leaving=True))
    assert await _find_end(asked, checks) is AnswerEnd.LEFT


@pytest.mark.parametrize(
    ('presence', 'seconds', 'late', 'end'),
    [
        (Presence.RESTARTED, 0.0, False, AnswerEnd.RUNNING),
        (Presence.RESTARTED, 1.0, False, AnswerEnd.GONE),
        (Presence.RESTARTED, 0.0, True, AnswerEnd.GONE),
        (Presence.ANSWERS, 0.0, False, AnswerEnd.RUNNING),
        (Presence.ANSWERS, 1.0, False, AnswerEnd.RUNNING),
        (Presence.ANSWERS, 0.0, True, AnswerEnd.UNKNOWN),
    ],
)
async def test_other_start_than_the_listed_one(
    presence: Presence, seconds: float, late: bool, end: AnswerEnd
) -> None:
    """A process that was killed and the next one are taken for each other."""
    asked = _Asked([presence])
    checks = asked.make_checks()
    received = asked.clock.monotonic()
    asked.clock.now += seconds
    if late:
        asked.lag.record(received - 1, asked.clock.monotonic())
    found = await checks.find_end(_REPLICA, received, patient=False)
    assert found is end
