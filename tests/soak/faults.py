"""Faults that a soak injects, each for a random time; they may overlap."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from soak.links import Link, LinkMode
from soak.world import World
from standins.replica import ReplicaStandIn

_PAUSE_SECONDS = (0.05, 0.8)
_DURATION_SECONDS = (0.3, 3.5)
_CUT_SECONDS = (0.5, 5.0)
_CUTS = 6
"""Weight of cuts among the other faults, in soaks that have them."""

_GRACE_SECONDS = 9.0

_SINGLE_LINK_MODES = (
    LinkMode.OPEN,
    LinkMode.DELAYED,
    LinkMode.SILENT,
    LinkMode.ONE_WAY,
    LinkMode.RESET,
)
"""Modes of one link; the draws of older seeds depend on their order."""

Fault = Callable[[World], Awaitable[None]]


def _sample_duration(world: World) -> float:
    return world.random_source.uniform(*_DURATION_SECONDS)


async def kill_node(world: World) -> None:
    """Kill a node's process, and restart it."""
    node = world.random_source.choice(world.nodes)
    node.expected_exits += 1
    node.killed.append(asyncio.get_running_loop().time())
    node.send(signal.SIGKILL)
    await asyncio.sleep(world.random_source.uniform(0.1, 1.5))
    node.restart_if_exited()


async def stop_node(world: World) -> None:
    """Stop a node as planned, and restart it after its grace period.

    A node that is stopped twice exits once.
    """
    node = world.random_source.choice(world.nodes)
    node.expected_exits += 1
    node.send(signal.SIGTERM)
    await asyncio.sleep(_GRACE_SECONDS)
    node.restart_if_exited()


async def pause_node(world: World) -> None:
    """Pause a node's process, and resume it."""
    node = world.random_source.choice(world.nodes)
    node.send(signal.SIGSTOP)
    await asyncio.sleep(_sample_duration(world))
    node.send(signal.SIGCONT)


async def reload_node(world: World) -> None:
    """Rewrite a node's settings file, with or without the reload signal."""
    node = world.random_source.choice(world.nodes)
    node.settings.write_text(node.settings.read_text())
    if world.random_source.randrange(2):
        node.request_reload()


async def break_link(world: World) -> None:
    """Delay, silence or reset a link for a while."""
    links: list[Link] = [
        *(node.store_link for node in world.nodes),
        *(node.front_link for node in world.nodes),
        *world.links.values(),
    ]
    link = world.random_source.choice(links)
    link.switch(world.random_source.choice(_SINGLE_LINK_MODES))
    await asyncio.sleep(_sample_duration(world))
    link.switch(LinkMode.OPEN)


async def reset_link(world: World) -> None:
    """Reset the open connections of two links; new connections work."""
    world.random_source.choice(
        [node.front_link for node in world.nodes]
    ).reset()
    world.random_source.choice(list(world.links.values())).reset()


async def disturb_store(world: World) -> None:
    """Make the store refuse, hang, lose answers or drop its history."""
    store = world.store
    kind = world.random_source.choice(
        ('busy', 'silent', 'lose', 'forget', 'deaf')
    )
    if kind == 'lose':
        store.lose_answers = world.random_source.randint(1, 3)
    elif kind == 'forget':
        store.forget_history()
    elif kind == 'deaf':
        store.hide_changes = True
        await asyncio.sleep(world.random_source.uniform(0.1, 1))
        store.hide_changes = False
        store.forget_history()
    else:
        store.mode = kind
        await asyncio.sleep(_sample_duration(world))
        store.mode = 'ok'


async def disturb_replica(world: World) -> None:
    """Make a replica refuse, fail, hang or corrupt answers for a while."""
    replica = world.random_source.choice(world.list_registered())
    name, value = world.random_source.choice(
        (
            ('refuse', 503),
            ('fail', 500),
            ('hang', True),
            ('unframed_part', True),
            ('other_identity', True),
        )
    )
    setattr(replica, name, value)
    await asyncio.sleep(_sample_duration(world))
    # Reset to the default, not to the value before, as two of these faults may
    # overlap.
    setattr(replica, name, type(value)())


async def break_streams(world: World) -> None:
    """Abort or stall the next stream of a replica."""
    replica = world.random_source.choice(world.list_registered())
    if world.random_source.randrange(2):
        replica.break_after = world.random_source.randint(1, 4)
    else:
        replica.stall_after = world.random_source.randint(1, 4)
        replica.stalls = 1


async def replace_replica(world: World) -> None:
    """Replace a replica, which announces that it leaves or doesn't."""
    old = world.random_source.choice(world.list_registered())
    if world.random_source.randrange(3):
        old.register('draining')
        world.leaving_since[old.name] = asyncio.get_running_loop().time()
        await asyncio.sleep(world.random_source.uniform(2, 3))
    new = ReplicaStandIn(
        old.name.rsplit('-', 1)[0],
        old.service,
        accelerator=old.accelerator,
        layers=old.layers,
    )
    await world.add_replica(new)
    world.drop(old)
    await asyncio.sleep(_sample_duration(world))
    world.links[old.name].switch(LinkMode.RESET)


FAULTS: tuple[Fault, ...] = (
    kill_node,
    stop_node,
    pause_node,
    reload_node,
    break_link,
    break_link,
    break_link,
    reset_link,
    disturb_store,
    disturb_store,
    disturb_replica,
    disturb_replica,
    break_streams,
    break_streams,
    replace_replica,
)


async def cut_nodes(world: World) -> None:
    """Cut most nodes off from all replicas, or those of a service."""
    source = world.random_source
    mode = source.choice((LinkMode.DARK, LinkMode.RESET, LinkMode.REFUSING))
    nodes = source.sample(world.nodes, source.randint(1, len(world.nodes) - 1))
    service = source.choice(('', '', 'model', 'booking'))
    names = {
        replica.name
        for replica in world.replicas
        if service in {'', replica.service}
    }
    links = [
        link
        for node in nodes
        for name, link in node.replica_links.items()
        if name in names
    ]
    for link in links:
        link.switch(mode)
    await asyncio.sleep(source.uniform(*_CUT_SECONDS))
    for link in links:
        link.switch(LinkMode.OPEN)


def list_faults(world: World) -> tuple[Fault, ...]:
    """List all faults, each as often as its weight."""
    return FAULTS + (cut_nodes,) * _CUTS if world.cutting else FAULTS


async def inject_faults(
    world: World, seconds: float, faults: tuple[Fault, ...]
) -> list[str]:
    """Inject faults at random times, and wait until all have ended.

    :param seconds: time during which faults start.
    :param faults: from which each is drawn.
    :returns: the faults' names, in order.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + seconds
    tasks: list[asyncio.Task[None]] = []
    names: list[str] = []
    while loop.time() < deadline:
        fault = world.random_source.choice(faults)
        names.append(fault.__name__)
        tasks.append(asyncio.ensure_future(fault(world)))
        await asyncio.sleep(world.random_source.uniform(*_PAUSE_SECONDS))
    await asyncio.gather(*tasks)
    return names
