"""How the time to a first event changes a concurrency window."""

import asyncio
import random
from types import SimpleNamespace
from typing import Any, cast

from core_fleet import make_replica
from ryelatch_core.admission import (
    ConcurrencyWindows,
)
from ryelatch_core.fleet import (
    LayerRange,
    LoadTracker,
    Stage,
)
from ryelatch_node.relay._progress import record_progress
from ryelatch_node.relay._stream import LiveStream


def _make_stream() -> LiveStream:
    head = make_replica('head', 0, 80)
    request = SimpleNamespace(route=SimpleNamespace(objective=0.5), arrived=0.0)
    return LiveStream(
        cast(Any, SimpleNamespace(ran=0, unbegun=1, detail={}, key='')),
        cast(Any, request),
        (Stage(head, LayerRange(0, 80)),),
        sent=0,
        progress=0,
        tokens=1,
        scope=asyncio.timeout(None),
    )


def _make_context() -> Any:
    windows = ConcurrencyWindows(random.Random(1).random)
    for _ in range(10):
        windows.add('head')
    return SimpleNamespace(
        clock=SimpleNamespace(monotonic=lambda: 1.0),
        load=LoadTracker(),
        windows=windows,
        slow_replicas=SimpleNamespace(check=lambda _: None),
        reservations=SimpleNamespace(
            client=SimpleNamespace(record_delay=lambda *_, begun: None)
        ),
    )


async def test_late_first_event_shrinks_a_window() -> None:
    context = _make_context()
    record_progress(context, _make_stream())
    assert context.windows.read_limit('head') < 10


async def test_loss_on_the_way_leaves_the_window() -> None:
    """A replica in the middle of a path crashes, and the stream is moved.

    Its first event is late for this reason, and not because the first replica
    is full. When windows shrank nevertheless, the remaining zones admitted
    fewer requests just when they had to serve all of them.
    """
    context = _make_context()
    stream = _make_stream()
    stream.delayed_by_loss = True
    record_progress(context, stream)
    assert context.windows.read_limit('head') > 10
