"""Replicas in processes of their own, which are killed, stopped and paused.

The kernel of a process that is killed ends its connections in an orderly way,
so that a part of an answer without a length looks like a whole one. Meanwhile
nodes are stopped and told of changed settings in series, and the configuration
changes.
"""

import asyncio
import signal
from collections.abc import Callable, Iterable
from typing import Any

from fleet.running import MODEL_SERVICE, NON_MODEL_SERVICE
from soak.faults import Fault, pause_node
from soak.processes import ReplicaProcess
from soak.releasing import change_limits, list_keys, reload_nodes
from soak.world import Node, World

CLIENT_COUNT = 48

DEFAULT_PROCESSES = 16

_ABSENCE_SECONDS = (0.3, 4.0)
"""Time from the end of a process to the start of the next one."""

_DROP_SECONDS = (0.0, 2.0)
_ARMED_SECONDS = 3.0
"""Time in which an armed process gets a request; then it is killed."""

_PAUSE_SECONDS = (0.7, 1.4)
_LISTEN_SECONDS = 3.4
"""Time for which a replica that leaves takes requests; nodes need three."""

_KILLED_RATIOS = (0.3, 0.5, 0.9)
_STOP_PAUSE_SECONDS = (0.2, 2.0)
_GRACE_SECONDS = 9.0
_RESTART_SECONDS = (0.1, 1.0)
_ROUTE_SECONDS = (0.5, 2.5)
_POLL_SECONDS = 0.02


async def kill_replica(world: World) -> None:
    """Kill a replica at a random time."""
    await _end_all(world, _sample(world, 1), ReplicaProcess.kill)


async def kill_in_answer(world: World) -> None:
    """Let a replica be killed amid an answer, between or inside two events."""
    await _end_all(world, _sample(world, 1), _arm)


async def kill_share(world: World) -> None:
    """Kill some or nearly all replicas of a service, at once or in answers."""
    service = world.random_source.choice((MODEL_SERVICE, NON_MODEL_SERVICE))
    running = [
        replica
        for replica in _list_staying(world)
        if replica.stand_in.service == service
    ]
    ratio = world.random_source.choice(_KILLED_RATIOS)
    count = max(1, round(len(running) * ratio))
    end = world.random_source.choice((ReplicaProcess.kill, _arm))
    replicas = world.random_source.sample(running, min(count, len(running)))
    await _end_all(world, replicas, end)


async def stop_replica(world: World) -> None:
    """Let a replica announce that it leaves, finish its streams, and end."""
    for replica in _sample(world, 1):
        replica.leaving = True
        now = asyncio.get_running_loop().time()
        world.leaving_since[replica.stand_in.name] = now
        replica.stand_in.register('draining')
        if world.random_source.randrange(2):
            replica.send(signal.SIGUSR2)
        await asyncio.sleep(_LISTEN_SECONDS)
        replica.send(signal.SIGTERM)
        await replica.process.child.wait()
        await _replace(world, replica, renamed=True)


async def pause_replicas(world: World) -> None:
    """Pause up to half of the replicas for about a second."""
    source = world.random_source
    running = [
        replica
        for replica in world.processes
        if replica.is_running and not replica.stand_in.is_still
    ]
    count = source.randint(1, max(1, len(running) // 2))
    paused = source.sample(running, min(count, len(running)))
    for replica in paused:
        replica.stand_still()
    await asyncio.sleep(source.uniform(*_PAUSE_SECONDS))
    for replica in paused:
        replica.go_on()


async def stop_series(world: World) -> None:
    """Stop all nodes but one as planned, shortly after each other."""
    source = world.random_source
    async with asyncio.TaskGroup() as stopping:
        for node in source.sample(world.nodes, len(world.nodes) - 1):
            stopping.create_task(_stop_node(world, node))
            await asyncio.sleep(source.uniform(*_STOP_PAUSE_SECONDS))


async def lose_route(world: World) -> None:
    """Take a route away, and give it back."""
    source = world.random_source
    name = source.choice(('ping', 'book', 'plan'))

    def take(configuration: dict[str, Any]) -> None:
        configuration['routes'] = [
            route for route in configuration['routes'] if route['name'] != name
        ]

    world.configure(list_keys(world), change=take)
    await asyncio.sleep(source.uniform(*_ROUTE_SECONDS))
    world.configure(list_keys(world))


KILLING_FAULTS: tuple[Fault, ...] = (
    kill_in_answer,
    kill_in_answer,
    kill_in_answer,
    kill_in_answer,
    kill_replica,
    kill_replica,
    kill_share,
    kill_share,
    kill_share,
    stop_replica,
    stop_replica,
    pause_replicas,
    pause_replicas,
    pause_node,
    stop_series,
    reload_nodes,
    change_limits,
    lose_route,
)


def _list_staying(world: World) -> list[ReplicaProcess]:
    return [
        replica
        for replica in world.processes
        if replica.is_running
        and not replica.leaving
        and not replica.stand_in.crashed
    ]


def _sample(world: World, count: int) -> list[ReplicaProcess]:
    running = _list_staying(world)
    return world.random_source.sample(running, min(count, len(running)))


def _arm(replica: ReplicaProcess) -> None:
    replica.send(signal.SIGUSR1)


async def _end_all(
    world: World,
    replicas: Iterable[ReplicaProcess],
    end: Callable[[ReplicaProcess], None],
) -> None:
    async with asyncio.TaskGroup() as ending:
        for replica in replicas:
            # No other fault ends it meanwhile.
            replica.leaving = True
            end(replica)
            ending.create_task(_await_end(world, replica))


async def _await_end(world: World, replica: ReplicaProcess) -> None:
    """Wait for the end of a process that is killed, and replace it."""
    try:
        async with asyncio.timeout(_ARMED_SECONDS):
            await replica.process.child.wait()
    except TimeoutError:
        replica.kill()
        await replica.process.child.wait()
    renamed = bool(world.random_source.randrange(2))
    await _replace(world, replica, renamed=renamed)


async def _replace(world: World, old: ReplicaProcess, *, renamed: bool) -> None:
    """Start a replica in place of another one, which may keep its id.

    The entry of the old one is dropped sooner or later, or replaced.
    """
    source = world.random_source
    absence = source.uniform(*_ABSENCE_SECONDS)
    dropped = source.uniform(*_DROP_SECONDS)
    same_address = bool(source.randrange(2))
    name = old.stand_in.name
    await asyncio.sleep(min(absence, dropped))
    if renamed or source.randrange(2):
        world.store.drop('servers', name)
    await asyncio.sleep(max(0, absence - dropped))
    await world.add_process(
        name.rsplit('-', 1)[0],
        old.stand_in,
        kept_name='' if renamed else name,
        port=int(old.stand_in.address.partition(':')[2]) if same_address else 0,
    )


async def _stop_node(world: World, node: Node) -> None:
    """Stop a node, and start it again shortly after its end."""
    node.expected_exits += 1
    node.send(signal.SIGTERM)
    restart = asyncio.get_running_loop().time() + _GRACE_SECONDS
    while node.is_running and asyncio.get_running_loop().time() < restart:
        await asyncio.sleep(_POLL_SECONDS)
    await asyncio.sleep(world.random_source.uniform(*_RESTART_SECONDS))
    node.restart_if_exited()
