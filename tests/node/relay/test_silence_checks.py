"""Whether replicas that were silent go on, asked before a refusal."""

import asyncio
from types import SimpleNamespace
from typing import Any

from ryelatch_core.events import LineLog
from ryelatch_core.fleet import LayerRange, Replica
from ryelatch_core.kernel import Hub
from ryelatch_core.membership import compute_departure_bounds
from ryelatch_node.ports import Report
from ryelatch_node.relay._silence_checks import (
    COOLDOWN_SECONDS,
    REPORT_SECONDS,
    SilenceChecks,
)
from ryelatch_node.views import ReplicaView
from virtual.loop import VirtualClock, run

_SERVICE = 'model'
_BURST = 100
_LONGEST_WAIT_SECONDS = REPORT_SECONDS + 0.01


def _make_replica(name: str) -> Replica:
    layers = LayerRange(0, 8)
    return Replica(name, _SERVICE, f'{name}:80', 'zone-a', 'l4', layers)


def _make_checks(
    replicas: list[Replica], silent: set[str]
) -> tuple[SilenceChecks, list[str]]:
    """Make checks of suspected replicas.

    :param silent: names of the replicas that send no report.
    :returns: the checks, and the names of the replicas that were asked.
    """
    asked: list[str] = []

    async def read_report(replica: Replica) -> Report:
        asked.append(replica.name)
        await asyncio.sleep(100 if replica.name in silent else 0.002)
        return Report(sequence=0, busy=False, used=0, stalled={})

    clock = VirtualClock()
    log = LineLog('node-a', clock, len)
    view = ReplicaView(log, clock, Hub(), compute_departure_bounds(2, 3))
    view.replace(replicas, unanswered=0)
    for replica in replicas:
        view.suspect(replica, 'no report', full=False)
    commands: Any = SimpleNamespace(read_report=read_report)
    return SilenceChecks(clock, commands, view), asked


async def _ask(checks: SilenceChecks, number: int) -> list[bool]:
    asking = (checks.find_returned(_SERVICE) for _ in range(number))
    return await asyncio.gather(*asking)


def test_refusals_share_one_check() -> None:
    """Each of a hundred requests asks all silent replicas for a report."""

    async def play() -> None:
        replicas = [_make_replica(f'm-{place}') for place in range(3)]
        checks, asked = _make_checks(replicas, {'m-2'})
        assert await _ask(checks, _BURST) == [True] * _BURST
        assert sorted(asked) == ['m-0', 'm-1', 'm-2']
        assert checks.replicas.list_suspects() == {'m-2'}
        assert await _ask(checks, 1) == [False]
        assert len(asked) == 3

    run(play())


def test_lost_replicas_delay_few_refusals() -> None:
    """Requests wait again and again for replicas that are lost."""

    async def play() -> None:
        checks, asked = _make_checks([_make_replica('m-0')], {'m-0'})
        loop = asyncio.get_running_loop()
        started = loop.time()
        assert await _ask(checks, _BURST) == [False] * _BURST
        assert loop.time() - started <= _LONGEST_WAIT_SECONDS
        assert await _ask(checks, _BURST) == [False] * _BURST
        assert loop.time() - started <= _LONGEST_WAIT_SECONDS
        await asyncio.sleep(COOLDOWN_SECONDS)
        assert await _ask(checks, 1) == [False]
        assert len(asked) == 2
        assert checks.replicas.list_suspects() == {'m-0'}

    run(play())


def test_client_that_leaves_ends_no_check() -> None:
    """Requests are refused as the client of the first of them has left."""

    async def play() -> None:
        checks, _ = _make_checks([_make_replica('m-0')], set())
        first = asyncio.create_task(checks.find_returned(_SERVICE))
        second = asyncio.create_task(checks.find_returned(_SERVICE))
        await asyncio.sleep(0.001)
        first.cancel()
        assert await second

    run(play())


def test_throttled_replica_is_not_asked() -> None:
    """A replica that limits its requests gets more of them, for reports."""

    async def play() -> None:
        replicas = [_make_replica(f'm-{place}') for place in range(2)]
        checks, asked = _make_checks(replicas, set())
        checks.is_throttled = lambda name: name == 'm-0'
        assert await _ask(checks, 1) == [True]
        assert asked == ['m-1']
        assert checks.replicas.list_suspects() == {'m-0'}

    run(play())
