"""What a probe concludes where the own process runs late, in virtual time."""

import asyncio
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

from ryelatch_core.fleet import Replica
from ryelatch_core.links import LinkGroup, ProbeResult
from ryelatch_node.links._prober import LinkProber
from virtual.loop import VirtualClock, VirtualLoop, run

_CONNECT_SECONDS = 0.005
_TURN_SECONDS = 0.005
_LATE_SECONDS = 0.025
_REPLICAS = [
    Replica(f'm-{number}', 'model', f'm-{number}:1', 'a') for number in range(2)
]


async def _run_late() -> None:
    """Let the process run for a moment, and pause for a longer one."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop)
    while True:
        await asyncio.sleep(_TURN_SECONDS)
        loop.freeze(_LATE_SECONDS)


async def _probe(reset_seconds: float | None) -> ProbeResult:
    """Probe while this process runs a sixth of the time.

    :param reset_seconds: time after which connections are reset.
    """

    async def hold_connection(
        _: Replica, hold: Callable[[], Awaitable[None]]
    ) -> bool:
        await asyncio.sleep(_CONNECT_SECONDS)
        if reset_seconds is None:
            await hold()
            return True
        holding = asyncio.create_task(hold())
        await asyncio.wait((holding,), timeout=reset_seconds)
        holding.cancel()
        return False

    commands: Any = SimpleNamespace(hold_connection=hold_connection)
    prober = LinkProber(VirtualClock(), commands, lambda: 0.5)
    pausing = asyncio.create_task(_run_late())
    try:
        return await prober.probe(LinkGroup('model', 'a'), _REPLICAS)
    finally:
        pausing.cancel()


def test_late_process_reaches_its_replicas() -> None:
    """Sound links are taken for lost as the process that probes is late."""

    async def play() -> None:
        assert await _probe(None) is ProbeResult.REACHED

    run(play())


def test_late_process_notices_lost_links() -> None:
    """Lost links are never noticed by a process that is always late."""

    async def play() -> None:
        assert await _probe(_CONNECT_SECONDS) is ProbeResult.UNREACHED

    run(play())
