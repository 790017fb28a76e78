"""Which replicas of a stalled path are taken for lost.

Nothing reports the loss of a replica in the middle of a path to the node.
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
from ryelatch_node.ports import Reachability
from ryelatch_node.relay._path_checks import (
    CONNECT_SECONDS,
    COOLDOWN_SECONDS,
    MAX_THRESHOLD_FACTOR,
    PathChecks,
)
from ryelatch_node.views import ReplicaView
from standins.links import SoundLinks
from virtual.loop import VirtualClock, VirtualLoop, run

_NEVER = 100.0
_NEARLY_ONE = 1.1
_REACHED_SECONDS = 0.002
_LOOP_ROUNDS = 5
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

_Connect = Callable[[str, int], tuple[float, Reachability]]
"""Returns the duration and the result of the nth connection to a replica."""


def _make_checks(answer: _Connect) -> tuple[PathChecks, ReplicaView]:
    tries: Counter[str] = Counter()

    async def reach(replica: Replica) -> Reachability:
        tries[replica.name] += 1
        seconds, found = answer(replica.name, tries[replica.name])
        await asyncio.sleep(seconds)
        # Lets due timers run first, as on the event loop that nodes use.
        for _ in range(_LOOP_ROUNDS):
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
        links=SoundLinks(),
        replicas=view,
        commands=SimpleNamespace(reach=reach),
    )
    return PathChecks(context), view


def _play(answer: _Connect, *, late: float = 0) -> set[str]:
    """Check a path once, and return the replicas that are taken for lost.

    :param late: seconds for which the event loop is blocked meanwhile.
    """
    lost: set[str] = set()

    async def play() -> None:
        checks, view = _make_checks(answer)
        checks.check(_STAGES)
        await asyncio.sleep(_REACHED_SECONDS / 2)
        if late:
            loop = asyncio.get_running_loop()
            assert isinstance(loop, VirtualLoop)
            loop.freeze(late)
        await asyncio.sleep(CONNECT_SECONDS + _REACHED_SECONDS)
        await checks.stop()
        lost.update(view.list_unreachable())

    run(play())
    return lost


def test_silent_replica_is_found_at_once() -> None:
    """A replica that doesn't respond is found before clients give up."""

    def answer(name: str, _: int) -> tuple[float, Reachability]:
        gone = name == 'm-2'
        return (_NEVER if gone else _REACHED_SECONDS), Reachability.LISTENS

    assert _play(answer) == {'m-2'}


def test_ended_replica_is_found_at_once() -> None:
    """The process of a replica has crashed; its address refuses connections."""

    def answer(name: str, _: int) -> tuple[float, Reachability]:
        ended = name == 'm-1'
        return (
            _REACHED_SECONDS,
            Reachability.REFUSED if ended else Reachability.LISTENS,
        )

    assert _play(answer) == {'m-1'}


def test_cut_off_node_blames_nobody() -> None:
    """A node that reaches no replica at all is cut off itself."""
    assert not _play(lambda *_: (_NEVER, Reachability.LISTENS))


def test_lost_packet_is_no_loss() -> None:
    """The first connection to each replica hangs, but the second succeeds."""

    def answer(_: str, number: int) -> tuple[float, Reachability]:
        return (
            _NEVER if number == 1 else _REACHED_SECONDS
        ), Reachability.LISTENS

    assert not _play(answer)


def test_late_reading_of_tries_is_no_loss() -> None:
    """A node without processor time reads most results after their timeout."""

    def answer(name: str, _: int) -> tuple[float, Reachability]:
        soon = _REACHED_SECONDS / 4
        return (
            soon if name == 'm-0' else _REACHED_SECONDS
        ), Reachability.LISTENS

    assert not _play(answer, late=CONNECT_SECONDS * 3)


def test_pauses_for_nothing_are_tried_less() -> None:
    """Crowded paths pause all the time, and each connection has a cost.

    After checks that reach all replicas, the pause threshold rises for a time.
    """

    async def play() -> None:
        checks, _ = _make_checks(lambda *_: (0.001, Reachability.LISTENS))
        assert checks.threshold_factor < _NEARLY_ONE
        for _ in range(10):
            checks.check(_STAGES)
            await asyncio.sleep(COOLDOWN_SECONDS * 1.1)
        assert 2 < checks.threshold_factor <= MAX_THRESHOLD_FACTOR
        await asyncio.sleep(20)
        assert checks.threshold_factor < _NEARLY_ONE

    run(play())


def test_replica_is_tried_once_for_all_streams() -> None:
    """Sixty streams stall at the same time and share the checks."""
    tried: list[str] = []

    def answer(name: str, _: int) -> tuple[float, Reachability]:
        tried.append(name)
        return _REACHED_SECONDS, Reachability.LISTENS

    async def play() -> None:
        checks, _ = _make_checks(answer)
        for _ in range(60):
            checks.check(_STAGES)
        await asyncio.sleep(CONNECT_SECONDS)

    run(play())
    assert len(tried) <= 2 * len(_STAGES)
