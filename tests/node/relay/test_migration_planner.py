"""Streams are moved off a replica before it stops."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast

from fake_clock import FakeClock
from ryelatch_core.events import LineLog
from ryelatch_core.fleet import LayerRange, Replica, Stage
from ryelatch_core.kernel import Hub
from ryelatch_core.membership import compute_departure_bounds
from ryelatch_node.relay._migration_planner import (
    LEAVING_SECONDS,
    MigrationPlanner,
)
from ryelatch_node.relay._stream import LiveStream
from ryelatch_node.views import ReplicaView


def _make(name: str, *, leaving: bool = False) -> Replica:
    return Replica(
        name=name,
        service='model',
        address=f'{name}:80',
        zone='zone-a',
        accelerator='l4',
        layers=LayerRange(0, 4),
        version=0,
        slots=96,
        leaving=leaving,
        entry=name,
    )


def _plan(delay: float) -> tuple[MigrationPlanner, Any, FakeClock]:
    """Report a replica as leaving, with a delay, to a node with a stream.

    :param delay: seconds between two updates of the node's list; the replica
        may have started to leave at any time between them.
    """
    clock = FakeClock()
    view = ReplicaView(
        LineLog('node-a', clock, len),
        clock,
        Hub(),
        compute_departure_bounds(2, 3),
    )
    view.put(_make('m-1'))
    view.freshness.confirm(clock.now)
    clock.now += delay
    view.put(_make('m-1', leaving=True))
    view.freshness.confirm(clock.now)
    path = tuple(
        Stage(_make(name), LayerRange(0, 4)) for name in ('m-0', 'm-1')
    )
    stream = SimpleNamespace(
        begun=True, move_attempts=0, last_move_attempt=0.0, path=path
    )
    return MigrationPlanner(view), stream, clock


def test_streams_are_let_be_at_first() -> None:
    """Most streams finish by themselves, and each move costs a command."""
    planner, stream, clock = _plan(delay=0.1)
    assert not planner.choose_replicas_to_leave(stream, clock.now)
    assert not planner.choose_replicas_to_leave(
        stream, clock.now + LEAVING_SECONDS
    )
    late = clock.now + LEAVING_SECONDS + 0.4
    assert planner.choose_replicas_to_leave(stream, late) == {'m-1'}


def test_late_word_leaves_less_time() -> None:
    """The store does not answer while a replica reports that it leaves.

    The node received the report 1.4 seconds late and left its streams there
    for another second. The replica stopped meanwhile: clients saw a pause, and
    some of their streams broke.
    """
    planner, stream, clock = _plan(delay=1.4)
    assert not planner.choose_replicas_to_leave(stream, clock.now)
    assert planner.choose_replicas_to_leave(stream, clock.now + 0.15) == {'m-1'}


async def test_stream_may_cross_zones_again() -> None:
    """A stream crosses zones if its path does.

    Only such a stream may be moved to a path that crosses zones as well: its
    zone lacks layers, and the replica that it leaves is to load them.
    """
    near, far = _make('m-0'), replace(_make('m-1'), zone='zone-b')
    paths = {
        'inside': (near, _make('m-2')),
        'across': (near, far),
    }
    streams = {
        name: LiveStream(
            cast(Any, SimpleNamespace()),
            cast(Any, SimpleNamespace()),
            tuple(Stage(replica, LayerRange(0, 4)) for replica in path),
            sent=0,
            progress=0,
            tokens=1,
            scope=asyncio.timeout(None),
        )
        for name, path in paths.items()
    }
    assert streams['across'].crosses
    assert not streams['inside'].crosses
