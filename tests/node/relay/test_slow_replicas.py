"""Reports are requested of the replicas of late paths, once per cooldown."""

import asyncio
from typing import Any

from core_fleet import make_replica
from ryelatch_core.events import LineLog
from ryelatch_core.fleet import LayerRange, Replica, Stage
from ryelatch_node.ports import Report
from ryelatch_node.relay._slow_replicas import (
    COOLDOWN_SECONDS,
    REPORT_TIMEOUT_SECONDS,
    SlowReplicaChecks,
)
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
    """Sends reports; one replica is slow and one does not answer in time."""

    def __init__(self) -> None:
        self.requested: list[str] = []

    async def read_report(self, replica: Replica) -> Report:
        self.requested.append(replica.name)
        await asyncio.sleep(
            REPORT_TIMEOUT_SECONDS * 2 if replica.name == 'm-60' else 0
        )
        step_factor = _SLOW if replica.name == 'm-20' else 1
        return Report(sequence=0, busy=False, used=0, stalled={}, step_factor=step_factor)


def _make_checks() -> tuple[SlowReplicaChecks, _Orders]:
    clock = VirtualClock()
    commands: Any = _Orders()
    return SlowReplicaChecks(
        LineLog('node-a', clock, len), clock, commands
    ), commands


def test_slow_replica_of_a_late_path_is_found() -> None:
    """One replica of a path is slow, and another one sends no report."""

    async def play() -> None:
        checks, _ = _make_checks()
        checks.check(_PATH)
        await asyncio.sleep(REPORT_TIMEOUT_SECONDS * 1.1)
        assert checks.tracker.list_slow(checks.clock.monotonic()) == {
            'm-20': _SLOW
        }
        await checks.stop()

    run(play())


def test_replicas_are_asked_once_for_all_streams() -> None:
    """Sixty streams are late at once, and stay late."""

    async def play() -> None:
        checks, commands = _make_checks()
        for _ in range(60):
            checks.check(_PATH)
        await asyncio.sleep(COOLDOWN_SECONDS * 1.1)
        assert len(commands.requested) == len(_PATH)
        checks.check(_PATH)
        await asyncio.sleep(COOLDOWN_SECONDS / 2)
        assert len(commands.requested) == 2 * len(_PATH)
        await checks.stop()

    run(play())
