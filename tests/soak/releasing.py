"""Planned work of all kinds at once, beside replicas that stand still.

Nothing fails in these soaks, so no request may be lost: releases overlap, the
configuration changes, nodes are stopped and told of changed settings in
rounds, and sound replicas are silent for up to two seconds.
"""

import asyncio
import signal
from typing import Any

from fleet.running import (
    KEY,
    MODEL_SERVICE,
    NON_MODEL_SERVICE,
    make_route,
)
from soak.faults import Fault
from soak.pausing import pause_replica, pause_service, pause_share
from soak.world import (
    SPARE_KEY,
    UNNUMBERED_KIND,
    UNREPEATABLE_KIND,
    Node,
    World,
)
from standins.replica import ReplicaStandIn

KINDS = (
    'plan',
    'plan',
    UNREPEATABLE_KIND,
    UNREPEATABLE_KIND,
    UNNUMBERED_KIND,
    'ping',
    'book',
)
"""Routes to which the clients send, each as often as it is listed."""

CLIENT_COUNT = 40

_RELEASE_RATIO = 0.5
_STEP_SECONDS = 1.0
"""Time between two replicas that are replaced."""

_LISTEN_SECONDS = 3.4
_STAY_SECONDS = 3.0
_LOAD_SECONDS = 1.0
_STEPS = 6
"""Replicas that one release replaces at most; others follow in the next."""

_RELOAD_RATIO = 0.3
_STOP_RATIO = 0.3
_ROUND_SECONDS = 1.0
_GRACE_SECONDS = 9.0

_IDLE_MS = (3000, 6000)
_TIMEOUT_MS = (9000, 12_000)


async def release_half(world: World) -> None:
    """Replace up to half of a service's replicas, one after the other."""
    source = world.random_source
    service = source.choice((MODEL_SERVICE, MODEL_SERVICE, NON_MODEL_SERVICE))
    staying = [
        replica
        for replica in world.list_registered()
        if replica.service == service
        and replica.name not in world.leaving_since
    ]
    count = min(_STEPS, round(len(staying) * _RELEASE_RATIO))
    async with asyncio.TaskGroup() as leaving:
        for replica in source.sample(staying, count):
            if replica.name not in world.leaving_since:
                await world.add_replica(_make_next(replica))
                leaving.create_task(_leave(world, replica))
            await asyncio.sleep(_STEP_SECONDS)


def _make_next(replica: ReplicaStandIn) -> ReplicaStandIn:
    """Make the empty replica that takes the place of one."""
    return ReplicaStandIn(
        replica.name.rsplit('-', 1)[0],
        replica.service,
        accelerator=replica.accelerator,
        load_seconds=_LOAD_SECONDS,
    )


async def _leave(world: World, replica: ReplicaStandIn) -> None:
    """Let a replica finish its streams and end, as planned."""
    world.leaving_since[replica.name] = asyncio.get_running_loop().time()
    replica.stop_listening = world.links[replica.name].stop_listening
    await replica.leave(_LISTEN_SECONDS, _STAY_SECONDS)


async def reload_nodes(world: World) -> None:
    """Rewrite the settings of some nodes, each with the reload signal."""
    for node in _sample_nodes(world, _RELOAD_RATIO):
        node.settings.write_text(node.settings.read_text())
        node.request_reload()
        await asyncio.sleep(world.random_source.uniform(0, _ROUND_SECONDS))


async def stop_nodes(world: World) -> None:
    """Stop some nodes as planned, and restart each after its grace period."""
    async with asyncio.TaskGroup() as stopping:
        for node in _sample_nodes(world, _STOP_RATIO):
            stopping.create_task(_stop(node))
            await asyncio.sleep(world.random_source.uniform(0, _ROUND_SECONDS))


async def _stop(node: Node) -> None:
    node.expected_exits += 1
    node.send(signal.SIGTERM)
    await asyncio.sleep(_GRACE_SECONDS)
    node.restart_if_exited()


async def change_limits(world: World) -> None:
    """Change the time limits of idle connections and of streams."""
    source = world.random_source
    world.configure(
        list_keys(world),
        idle_ms=source.randint(*_IDLE_MS),
        timeout_ms=source.randint(*_TIMEOUT_MS),
    )


async def change_routes(world: World) -> None:
    """Add a route, which the next change takes away."""

    def add_route(configuration: dict[str, Any]) -> None:
        configuration['routes'].append(make_route(f'news-{world.version}'))

    world.configure(list_keys(world), change=add_route)


async def change_accounts(world: World) -> None:
    """Add a client account, which the next change takes away."""
    key = f'ward-{world.version + 2}-key'
    world.configure([*list_keys(world), key])


async def change_weights(world: World) -> None:
    """Give a part of a route's requests to another entry of its service."""
    weight = world.random_source.uniform(0.1, 0.9)

    def split_route(configuration: dict[str, Any]) -> None:
        configuration['routes'][0]['split'] = [
            {'service': NON_MODEL_SERVICE, 'weight': weight},
            {'service': NON_MODEL_SERVICE, 'weight': 1 - weight},
        ]

    world.configure(list_keys(world), change=split_route)


def list_keys(world: World) -> list[str]:
    """List the API keys that hold at present."""
    return [KEY, SPARE_KEY] if world.revoked_at is None else [KEY]


def _sample_nodes(world: World, ratio: float) -> list[Node]:
    count = round(len(world.nodes) * ratio)
    return world.random_source.sample(world.nodes, count)


RELEASING_FAULTS: tuple[Fault, ...] = (
    release_half,
    release_half,
    release_half,
    reload_nodes,
    reload_nodes,
    reload_nodes,
    stop_nodes,
    change_limits,
    change_routes,
    change_accounts,
    change_weights,
    pause_replica,
    pause_replica,
    pause_service,
    pause_share,
)
