"""Faults in which sound replicas stand still for a while and go on."""

import asyncio
from collections.abc import Iterable

from fleet.running import KEY, MODEL_SERVICE, NON_MODEL_SERVICE
from soak.faults import Fault, reload_node, replace_replica, stop_node
from soak.links import Link, LinkMode
from soak.world import SPARE_KEY, World
from standins.replica import ReplicaStandIn

MAX_PAUSE_SECONDS = 1.88
"""Longest pause; clients leave after two seconds without an event."""

CLIENT_PATIENCE_SECONDS = 2.0
CLIENT_DEADLINE_SECONDS = 8.0
"""Longer than a stream that is paused several times."""

_BOUNDS_SECONDS = (0.3, 0.4, 0.7, 0.8, 1.0, 1.1, 1.3, 1.5, 1.8)
"""Pauses after which nodes do something about a stream, and longer ones."""

_SPREAD_SECONDS = 0.08
_BREATH_SECONDS = 0.3
"""Time between two pauses of a replica; its clients get events in it."""

_IDLE_MS = (3000, 6000)
_TIMEOUT_MS = (9000, 12_000)
_SPLIT_RATIO = 0.3
_VM_RATIO = 0.3


async def pause_replica(world: World) -> None:
    """Pause one replica."""
    await _pause(world, [world.random_source.choice(world.list_registered())])


async def pause_service(world: World) -> None:
    """Pause all replicas of a service at once."""
    await _pause(world, _list_service(world))


async def pause_share(world: World) -> None:
    """Pause a random share of the replicas of a service."""
    source = world.random_source
    replicas = _list_service(world)
    await _pause(
        world, source.sample(replicas, source.randint(1, len(replicas)))
    )


async def change_configuration(world: World) -> None:
    """Change the time limits of connections and routes."""
    source = world.random_source
    keys = [KEY, SPARE_KEY] if world.revoked_at is None else [KEY]
    world.configure(
        keys,
        idle_ms=source.randint(*_IDLE_MS),
        timeout_ms=source.randint(*_TIMEOUT_MS),
    )


PAUSING_FAULTS: tuple[Fault, ...] = (
    pause_replica,
    pause_replica,
    pause_service,
    pause_service,
    pause_share,
    pause_share,
    change_configuration,
    reload_node,
    stop_node,
    replace_replica,
)


def _list_service(world: World) -> list[ReplicaStandIn]:
    service = world.random_source.choice(
        (MODEL_SERVICE, MODEL_SERVICE, NON_MODEL_SERVICE)
    )
    return [
        replica
        for replica in world.list_registered()
        if replica.service == service
    ]


async def _pause(world: World, replicas: Iterable[ReplicaStandIn]) -> None:
    source = world.random_source
    now = asyncio.get_running_loop().time()
    paused = [replica for replica in replicas if _may_pause(replica, now)]
    seconds = source.choice(_BOUNDS_SECONDS) + source.uniform(
        -_SPREAD_SECONDS, _SPREAD_SECONDS
    )
    for replica in paused:
        replica.stand_still(splits=source.random() < _SPLIT_RATIO)
    with_vms = source.random() < _VM_RATIO
    held = _hold_links(world, paused) if with_vms else []
    await asyncio.sleep(min(seconds, MAX_PAUSE_SECONDS))
    for replica in paused:
        replica.go_on()
    for link in held:
        # A link that was reset meanwhile stays so.
        if link.mode is LinkMode.HELD:
            link.switch(LinkMode.OPEN)


def _hold_links(world: World, replicas: Iterable[ReplicaStandIn]) -> list[Link]:
    """Make replicas stand still with their VMs, which accept no connection."""
    links = [
        world.links[replica.name]
        for replica in replicas
        if world.links[replica.name].mode is LinkMode.OPEN
    ]
    for link in links:
        link.switch(LinkMode.HELD)
    return links


def _may_pause(replica: ReplicaStandIn, now: float) -> bool:
    last_end = max((end for _, end in replica.standstills), default=0)
    return now - last_end > _BREATH_SECONDS
