"""Runs a seed: faults under load, then recovery, then the checks."""

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from fleet.running import KEY
from soak.checks import list_violations
from soak.clients import Attempt, Clients
from soak.crashing import CrashingClient
from soak.crowding import open_crowds
from soak.faults import Fault, inject_faults, list_faults
from soak.killing import CLIENT_COUNT as KILLING_CLIENT_COUNT
from soak.killing import KILLING_FAULTS
from soak.leaving import LEAVING_FAULTS, Leavers
from soak.pausing import (
    CLIENT_DEADLINE_SECONDS,
    CLIENT_PATIENCE_SECONDS,
    PAUSING_FAULTS,
)
from soak.releasing import CLIENT_COUNT, KINDS, RELEASING_FAULTS
from soak.repeats import Repeats, measure_repeats
from soak.throttling import ThrottledReplicas
from soak.world import World, run_world

RECOVERY_SECONDS = 5.0
"""Time from the last fault until requests must be served.

A lost replica is suspected for four seconds; a killed node starts in one.
"""

RECOVERY_REQUESTS = 30
_LONG_AT_ONCE = 6


@dataclass(frozen=True)
class Outcome:
    """Result of a seed.

    :param faults: names of the injected faults, in order.
    :param statuses: number of answers by status; 0 where none came.
    :param repeats: by service, the window nearest to the retry budget.
    """

    seed: int
    faults: list[str]
    statuses: Counter[int]
    violations: list[str]
    repeats: list[Repeats]


async def run_seed(
    seed: int,
    seconds: float,
    folder: Path,
    *,
    crashing: bool = False,
    crashing_part: bool = False,
    ending: bool = False,
    asking: bool = False,
    cutting: bool = False,
    pausing: bool = False,
    releasing: bool = False,
    leaving: bool = False,
    processes: int = 0,
    crowding: bool = False,
) -> Outcome:
    """Run one seed.

    :param seconds: time during which faults start; the last ones end later.
    :param folder: for settings and log files of the processes.
    :param crashing: whether a client sends a request that crashes replicas.
    :param crashing_part: whether it sends different ones with such a part.
    :param ending: whether replicas end in various ways under such requests, at
        any time and also before they have sent anything.
    :param asking: whether replicas announce limits and ask for backoff.
    :param cutting: whether nodes are cut off from all replicas.
    :param pausing: whether replicas stand still beside planned work, and
        nothing else happens.
    :param releasing: the same in a fleet of a small deployment's size, beside
        planned work of all kinds.
    :param leaving: whether clients leave early, while nodes stand still or are
        cut off from all replicas.
    :param processes: number of replicas in processes of their own, which are
        killed beside planned work; 0 for none.
    :param crowding: whether crowds of clients that don't behave come beside
        the ordinary ones.
    """
    cutting = cutting or leaving
    async with (
        run_world(
            seed,
            folder,
            cutting=cutting,
            pausing=pausing,
            releasing=releasing,
            processes=processes,
            ending=ending,
        ) as world,
        open_crowds(world, seed if crowding else None) as crowds,
    ):
        clients = Clients(world)
        if releasing:
            clients.kinds = KINDS
            clients.count = CLIENT_COUNT
        if world.killing:
            clients.kinds = KINDS
            clients.count = KILLING_CLIENT_COUNT
            clients.varied = True
        if cutting or world.pausing or world.killing:
            clients.random_source = random.Random(seed)
        if world.pausing or world.killing:
            clients.deadline = CLIENT_DEADLINE_SECONDS
        if world.pausing:
            clients.patience = CLIENT_PATIENCE_SECONDS
        stop_clients = asyncio.Event()
        crashing_client = CrashingClient(
            world, clients, random.Random(seed), crashing_part
        )
        crashing = crashing or crashing_part
        throttled = ThrottledReplicas(world, clients, random.Random(seed))
        if crashing:
            crashing_client.start()
        if asking:
            throttled.start()
        leavers = Leavers(world, clients, random.Random(seed))
        if leaving:
            leavers.start()
        sending = asyncio.create_task(clients.run(stop_clients))
        revoking = asyncio.create_task(_revoke_key(world, seconds / 3))
        drawn = LEAVING_FAULTS if leaving else _list_faults(world)
        faults = await inject_faults(world, seconds, drawn)
        await revoking
        await throttled.stop()
        await crowds.stop()
        await _wait_recovered(world)
        await leavers.stop()
        stop_clients.set()
        await sending
        world.recovered_at = asyncio.get_running_loop().time()
        if crashing:
            await crashing_client.resend()
        if asking:
            await throttled.overload()
        recovery_attempts = await _send_recovered(world, clients)
        await crashing_client.stop()
        world.read_records()
        statuses = Counter(attempt.status for attempt in clients.attempts)
        violations = list_violations(world, clients, recovery_attempts)
        repeats = measure_repeats(world, clients)
    return Outcome(seed, faults, statuses, violations, repeats)


async def _send_recovered(world: World, clients: Clients) -> list[Attempt]:
    """Send the requests that must be served; some at once if streams last."""
    at_once = _LONG_AT_ONCE if world.killing else 1
    count = RECOVERY_REQUESTS // at_once
    sent = await asyncio.gather(
        *(clients.send_sequentially(count) for _ in range(at_once))
    )
    return [*itertools.chain.from_iterable(sent)]


def _list_faults(world: World) -> tuple[Fault, ...]:
    if world.releasing:
        return RELEASING_FAULTS
    if world.killing:
        return KILLING_FAULTS
    return PAUSING_FAULTS if world.pausing else list_faults(world)


async def _revoke_key(world: World, seconds: float) -> None:
    await asyncio.sleep(seconds)
    world.configure([KEY])
    world.revoked_at = asyncio.get_running_loop().time()


async def _wait_recovered(world: World) -> None:
    for node in world.nodes:
        node.restart_if_exited()
    await world.wait_ready()
    await asyncio.sleep(RECOVERY_SECONDS)
