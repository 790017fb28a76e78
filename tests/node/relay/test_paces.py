"""Replicas of late paths are asked how slow they are, and no more than that."""

import asyncio
from typing import Any

from core_fleet import make_replica
from ryelatch_core.events import LineLog
from ryelatch_core.fleet import LayerRange, Replica, Stage
from ryelatch_node.ports import Report
from ryelatch_node.relay._paces import REPORT_SECONDS, REST_SECONDS, PaceChecks
from virtual.loop import VirtualClock, run

_SLOW = 12.0
_PATH = tuple(
    Stage(
        make_replica(f'm-{first}', first, first + 20),
        LayerRange(first, first + 20),
    )
    for first in (0, 20, 40, 60)
)


class _Orders:
    """Answers reports; one replica is slow and one says nothing."""

    def __init__(self) -> None:
        self.asked: list[str] = []

    async def read_report(self, replica: Replica) -> Report:
        self.asked.append(replica.name)
        await asyncio.sleep(REPORT_SECONDS * 2 if replica.name == 'm-60' else 0)
        pace = _SLOW if replica.name == 'm-20' else 1
        return Report(sequence=0, busy=False, used=0, stalled={}, pace=pace)


def _make_checks() -> tuple[PaceChecks, _Orders]:
    clock = VirtualClock()
    orders: Any = _Orders()
    return PaceChecks(LineLog('node-a', clock, len), clock, orders), orders


def test_slow_replica_of_a_late_path_is_found() -> None:
    """Its first replica is sound, and one of the others says nothing."""

    async def play() -> None:
        checks, _ = _make_checks()
        checks.check(_PATH)
        await asyncio.sleep(REPORT_SECONDS * 1.1)
        assert checks.book.list_slow(checks.clock.monotonic()) == {
            'm-20': _SLOW
        }
        await checks.stop()

    run(play())


def test_replicas_are_asked_once_for_all_streams() -> None:
    """Sixty streams are late at once, and go on to be."""

    async def play() -> None:
        checks, orders = _make_checks()
        for _ in range(60):
            checks.check(_PATH)
        await asyncio.sleep(REST_SECONDS * 1.1)
        assert len(orders.asked) == len(_PATH)
        checks.check(_PATH)
        await asyncio.sleep(REST_SECONDS / 2)
        assert len(orders.asked) == 2 * len(_PATH)
        await checks.stop()

    run(play())
