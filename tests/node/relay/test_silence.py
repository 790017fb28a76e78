"""Which replicas of a path that stands still are taken to be lost.

The load is the loss of replicas in the middle of paths, which say nothing.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from ryelatch_core.events import LineLog
from ryelatch_core.fleet import LayerRange, Replica, Stage
from ryelatch_core.kernel import Hub
from ryelatch_core.membership import compute_departure_bounds
from ryelatch_node.beliefs import ReplicaView
from ryelatch_node.ports import Reach
from ryelatch_node.relay._silence import (
    MOST_ALARM,
    REST_SECONDS,
    TRY_SECONDS,
    PathChecks,
)
from virtual.loop import VirtualClock, VirtualLoop, run

_NEVER = 100.0
_ALMOST_USUAL = 1.1
_REACHED_SECONDS = 0.002
_ROUNDS = 5
_STAGES = tuple(
    Stage(
        Replica(
            f'm-{number}',
            'model',
            f'm-{number}:80',
            'zone-a',
            'l4',
            LayerRange(number, number + 1),
        ),
        LayerRange(number, number + 1),
    )
    for number in range(4)
)

_Answer = Callable[[str, int], tuple[float, Reach]]
"""Tells after how long and how the nth try of a replica ends."""


def _make_checks(answer: _Answer) -> tuple[PathChecks, ReplicaView]:
    tries: Counter[str] = Counter()

    async def reach(replica: Replica) -> Reach:
        tries[replica.name] += 1
        seconds, found = answer(replica.name, tries[replica.name])
        await asyncio.sleep(seconds)
        # Timers that are due come first, as on the loop that nodes run on.
        for _ in range(_ROUNDS):
            await asyncio.sleep(0)
        return found

    clock = VirtualClock()
    log = LineLog('node-a', clock, len)
    view = ReplicaView(log, clock, Hub(), compute_departure_bounds(2, 3))
    for stage in _STAGES:
        view.put(stage.replica)
    context: Any = SimpleNamespace(
        clock=clock,
        log=log,
        replicas=view,
        orders=SimpleNamespace(reach=reach),
    )
    return PathChecks(context), view


def _play(answer: _Answer, *, late: float = 0) -> set[str]:
    """Check a path once; name the replicas that are taken to be lost."""
    lost: set[str] = set()

    async def play() -> None:
        checks, view = _make_checks(answer)
        checks.check(_STAGES)
        await asyncio.sleep(_REACHED_SECONDS / 2)
        if late:
            loop = asyncio.get_running_loop()
            assert isinstance(loop, VirtualLoop)
            loop.stand_still(late)
        await asyncio.sleep(TRY_SECONDS + _REACHED_SECONDS)
        await checks.stop()
        lost.update(view.list_unreachable())

    run(play())
    return lost


def test_silent_replica_is_found_at_once() -> None:
    """One of a path has gone dark; its streams can still go on in time."""

    def answer(name: str, _: int) -> tuple[float, Reach]:
        gone = name == 'm-2'
        return (_NEVER if gone else _REACHED_SECONDS), Reach.LISTENS

    assert _play(answer) == {'m-2'}


def test_ended_replica_is_found_at_once() -> None:
    """The process of one has ended; its address refuses connections."""

    def answer(name: str, _: int) -> tuple[float, Reach]:
        ended = name == 'm-1'
        return _REACHED_SECONDS, Reach.REFUSED if ended else Reach.LISTENS

    assert _play(answer) == {'m-1'}


def test_cut_off_node_blames_nobody() -> None:
    """The node reaches nothing at all: its own way is cut."""
    assert not _play(lambda *_: (_NEVER, Reach.LISTENS))


def test_lost_packet_is_no_loss() -> None:
    """The first connection to each replica hangs, the second one does not."""

    def answer(_: str, number: int) -> tuple[float, Reach]:
        return (_NEVER if number == 1 else _REACHED_SECONDS), Reach.LISTENS

    assert not _play(answer)


def test_late_reading_of_tries_is_no_loss() -> None:
    """A node without processor time reads most answers after their timeout."""

    def answer(name: str, _: int) -> tuple[float, Reach]:
        soon = _REACHED_SECONDS / 4
        return (soon if name == 'm-0' else _REACHED_SECONDS), Reach.LISTENS

    assert not _play(answer, late=TRY_SECONDS * 3)


def test_pauses_for_nothing_are_tried_less() -> None:
    """Crowded paths pause all the time, and connections have their price."""

    async def play() -> None:
        checks, _ = _make_checks(lambda *_: (0.001, Reach.LISTENS))
        assert checks.patience < _ALMOST_USUAL
        for _ in range(10):
            checks.check(_STAGES)
            await asyncio.sleep(REST_SECONDS * 1.1)
        assert 2 < checks.patience <= MOST_ALARM
        await asyncio.sleep(20)
        assert checks.patience < _ALMOST_USUAL

    run(play())


def test_replica_is_tried_once_for_all_streams() -> None:
    """Sixty streams stand still at once."""
    tried: list[str] = []

    def answer(name: str, _: int) -> tuple[float, Reach]:
        tried.append(name)
        return _REACHED_SECONDS, Reach.LISTENS

    async def play() -> None:
        checks, _ = _make_checks(answer)
        for _ in range(60):
            checks.check(_STAGES)
        await asyncio.sleep(TRY_SECONDS)

    run(play())
    assert len(tried) <= 2 * len(_STAGES)
