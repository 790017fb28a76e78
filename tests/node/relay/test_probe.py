"""Replicas that are asked for a report as a refusal named them."""

import asyncio
from itertools import repeat
from types import SimpleNamespace
from typing import Any

import pytest

from ryelatch_core.events import LineLog
from ryelatch_core.fleet import Replica
from ryelatch_core.kernel import Hub
from ryelatch_core.membership import compute_departure_bounds
from ryelatch_node.ports import Report
from ryelatch_node.relay._probe import Prober
from ryelatch_node.views import ReplicaView
from virtual.loop import VirtualClock, VirtualLoop, run

_REPLICA = Replica('m-0', 'model', 'm-0:80', 'zone-a')
_READING_STEPS = 3
_LONGEST_CHECK_SECONDS = 3


def _make_prober(delay: float) -> tuple[Prober, list[str]]:
    """Make a prober of a replica that sends its reports after a delay.

    :returns: the prober, and the names of the replicas that are suspected.
    """

    async def read_report(_: Replica) -> Report:
        await asyncio.sleep(delay)
        for reading in repeat(asyncio.sleep, _READING_STEPS):
            await reading(0)
        return Report(sequence=0, busy=False, used=0, stalled={})

    clock = VirtualClock()
    log = LineLog('node-a', clock, len)
    view = ReplicaView(log, clock, Hub(), compute_departure_bounds(2, 3))
    view.put(_REPLICA)
    suspected: list[str] = []
    context: Any = SimpleNamespace(
        clock=clock,
        now=clock.monotonic,
        log=log,
        replicas=SimpleNamespace(
            suspect=lambda replica, *_, full: suspected.append(replica.name),
            apply_report=view.apply_report,
        ),
        commands=SimpleNamespace(read_report=read_report),
        throttle=SimpleNamespace(is_throttled=lambda _: False),
    )
    return Prober(context), suspected


@pytest.mark.parametrize('pauses', [2, 3, 6])
def test_own_pauses_are_no_missing_reports(pauses: int) -> None:
    """A replica is taken for lost as its reports were read too late."""

    async def play() -> None:
        prober, suspected = _make_prober(0.01)
        prober.check(_REPLICA)
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        for _ in range(pauses):
            await asyncio.sleep(0.001)
            loop.freeze(1)
            await asyncio.sleep(0)
        await asyncio.sleep(_LONGEST_CHECK_SECONDS)
        assert not suspected
        await prober.stop()

    run(play())


def test_replica_without_reports_is_suspected() -> None:
    """A replica that sends no report stays in use, as one pause was met."""

    async def play() -> None:
        prober, suspected = _make_prober(100)
        prober.check(_REPLICA)
        await asyncio.sleep(0.001)
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        loop.freeze(1)
        await asyncio.sleep(_LONGEST_CHECK_SECONDS)
        assert suspected == [_REPLICA.name]
        await prober.stop()

    run(play())
