"""Plays a seed: faults, clients, then calm, then the checks."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from fleet.running import KEY
from soak.asking import AskingReplicas
from soak.checks import list_violations
from soak.clients import Clients
from soak.crashing import CrashingClient
from soak.faults import inject_faults
from soak.world import World, run_world

CALM_SECONDS = 5.0
"""From the last fault to the first request that must be served.

A lost replica's suspicion lasts four seconds, a killed node starts in one.
"""

CALM_REQUESTS = 30


@dataclass(frozen=True)
class Outcome:
    """What a seed brought.

    :param faults: names of what was injected, in order.
    :param statuses: answers by status; 0 where none came.
    """

    seed: int
    faults: list[str]
    statuses: Counter[int]
    violations: list[str]


async def play_seed(
    seed: int,
    seconds: float,
    folder: Path,
    *,
    crashing: bool = False,
    asking: bool = False,
) -> Outcome:
    """Play one seed.

    :param seconds: for which faults begin; the last ones end later.
    :param folder: for settings and what the processes write.
    :param crashing: whether a client sends what ends the replicas that run it.
    :param asking: whether replicas name limits and ask for rest.
    """
    async with run_world(seed, folder) as world:
        clients = Clients(world)
        until = asyncio.Event()
        crashes = CrashingClient(world, clients, random.Random(seed))
        asks = AskingReplicas(world, clients, random.Random(seed))
        if crashing:
            crashes.start()
        if asking:
            asks.start()
        sending = asyncio.create_task(clients.run(until))
        revoking = asyncio.create_task(_revoke(world, seconds / 3))
        faults = await inject_faults(world, seconds)
        await revoking
        await asks.stop()
        await _settle(world)
        until.set()
        await sending
        world.calm = asyncio.get_running_loop().time()
        if crashing:
            await crashes.go_on()
        if asking:
            await asks.press()
        calm = await clients.ask_calmly(CALM_REQUESTS)
        await crashes.stop()
        statuses = Counter(one.status for one in clients.attempts)
        violations = list_violations(world, clients, calm)
    return Outcome(seed, faults, statuses, violations)


async def _revoke(world: World, seconds: float) -> None:
    await asyncio.sleep(seconds)
    world.configure([KEY])
    world.revoked = asyncio.get_running_loop().time()


async def _settle(world: World) -> None:
    for node in world.nodes:
        node.revive()
    await world.wait_ready()
    await asyncio.sleep(CALM_SECONDS)
