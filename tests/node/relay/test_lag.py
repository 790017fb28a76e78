"""A node that stood still itself blames no replica for it."""

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from ryelatch_core.events import LineLog
from ryelatch_core.fleet import LayerRange, Replica, Stage
from ryelatch_core.kernel import Hub
from ryelatch_core.membership import compute_departure_bounds
from ryelatch_node.beliefs import ReplicaView
from ryelatch_node.ports import Reach, Report
from ryelatch_node.relay._stream import FIRST_REPLICA_LOST
from ryelatch_node.relay._watch import StreamWatch
from virtual.loop import VirtualClock, VirtualLoop, run

_HEAD = Replica(
    name='m-0',
    service='model',
    address='m-0:80',
    zone='zone-a',
    accelerator='l4',
    layers=LayerRange(0, 4),
    entry='m-0',
)


class _Stream(SimpleNamespace):
    """What the watch looks at; it is kept in a set."""

    __hash__ = object.__hash__


def _make_watch(answers_after: float) -> tuple[StreamWatch, list[str]]:
    """Watch one stream whose first replica answers a report in some time."""

    async def read_report(_: Replica) -> Report:
        await asyncio.sleep(answers_after)
        return Report(sequence=0, busy=False, used=0, stalled={})

    async def reach(_: Replica) -> Reach:
        await asyncio.sleep(0.001)
        return Reach.LISTENS

    async def acquire_permit(_: Replica) -> bool:
        return True

    clock = VirtualClock()
    log = LineLog('node-a', clock, len)
    view = ReplicaView(log, clock, Hub(), compute_departure_bounds(2, 3))
    view.put(_HEAD)
    context: Any = SimpleNamespace(
        clock=clock,
        log=log,
        replicas=view,
        orders=SimpleNamespace(read_report=read_report, reach=reach),
        budget=SimpleNamespace(left=0),
        throttle=SimpleNamespace(acquire_permit=acquire_permit),
        paces=SimpleNamespace(
            check=lambda _: None, stop=lambda: asyncio.sleep(0)
        ),
    )
    prober: Any = SimpleNamespace(stop=lambda: asyncio.sleep(0))
    interrupted: list[str] = []
    stream = _Stream(
        path=(Stage(_HEAD, LayerRange(0, 4)),),
        head=_HEAD,
        begun=True,
        first_event=None,
        delivered=0,
        moving=False,
        reason='',
        told=True,
        progress=clock.monotonic(),
        move_attempts=0,
        last_move_attempt=0.0,
        request=SimpleNamespace(
            repeatable=True,
            terms=SimpleNamespace(identity='r-1'),
            route=SimpleNamespace(gap=0),
        ),
        uses=lambda names: _HEAD.name in names,
        interrupt=interrupted.append,
    )
    watch = StreamWatch(context, prober)
    watch.streams.add(stream)  # type: ignore[arg-type]
    return watch, interrupted


def _stand_still(seconds: float) -> None:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop)
    loop.stand_still(seconds)


@pytest.mark.parametrize('at', [0.42, 0.52, 0.62, 0.72])
def test_late_reading_is_no_loss(at: float) -> None:
    """A node gets no processor time for a second, its streams flow on.

    The report that it had asked for came in time and lay unread until after
    its timeout. The first replica was taken for lost, and all of its streams
    were cut off in the middle.
    """

    async def play() -> None:
        watch, interrupted = _make_watch(answers_after=0.2)
        await watch.start()
        await asyncio.sleep(at)
        _stand_still(1)
        await asyncio.sleep(1)
        await watch.stop()
        assert not interrupted
        assert not watch.context.replicas.list_suspects()

    run(play())


def test_silent_replica_is_lost_all_the_same() -> None:
    """The node stands still once, and the report never comes."""

    async def play() -> None:
        watch, interrupted = _make_watch(answers_after=100)
        await watch.start()
        await asyncio.sleep(0.5)
        _stand_still(1)
        await asyncio.sleep(1.2)
        await watch.stop()
        assert FIRST_REPLICA_LOST in interrupted

    run(play())
