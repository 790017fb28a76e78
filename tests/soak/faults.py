"""Faults that a soak injects, each for a while, in series and overlapping."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from soak.links import Link, LinkMode
from soak.world import World
from standins.replica import ReplicaStandIn

_PAUSE_SECONDS = (0.05, 0.8)
_SPAN_SECONDS = (0.3, 3.5)
_GRACE_SECONDS = 9.0

Fault = Callable[[World], Awaitable[None]]


def _span(world: World) -> float:
    return world.chance.uniform(*_SPAN_SECONDS)


async def kill_node(world: World) -> None:
    """Kill a node's process and start it again."""
    node = world.chance.choice(world.nodes)
    node.wanted_ends += 1
    node.send(signal.SIGKILL)
    await asyncio.sleep(world.chance.uniform(0.1, 1.5))
    node.revive()


async def stop_node(world: World) -> None:
    """Stop a node as planned; one that is stopped twice ends once."""
    node = world.chance.choice(world.nodes)
    node.wanted_ends += 1
    node.send(signal.SIGTERM)
    await asyncio.sleep(_GRACE_SECONDS)
    node.revive()


async def pause_node(world: World) -> None:
    """Let a node's process stand still."""
    node = world.chance.choice(world.nodes)
    node.send(signal.SIGSTOP)
    await asyncio.sleep(_span(world))
    node.send(signal.SIGCONT)


async def reload_node(world: World) -> None:
    """Touch a settings file, with and without the signal."""
    node = world.chance.choice(world.nodes)
    node.settings.write_text(node.settings.read_text())
    if world.chance.randrange(2):
        node.notify()


async def break_link(world: World) -> None:
    """Delay, cut, silence or reset a link for a while."""
    links: list[Link] = [
        *(node.store for node in world.nodes),
        *(node.front for node in world.nodes),
        *world.links.values(),
    ]
    link = world.chance.choice(links)
    link.switch(world.chance.choice(list(LinkMode)))
    await asyncio.sleep(_span(world))
    link.switch(LinkMode.OPEN)


async def reset_link(world: World) -> None:
    """Reset what is open; new connections work."""
    world.chance.choice([node.front for node in world.nodes]).reset()
    world.chance.choice(list(world.links.values())).reset()


async def trouble_store(world: World) -> None:
    """Let the store refuse, fall silent, lose answers or forget."""
    store = world.store
    kind = world.chance.choice(('busy', 'silent', 'lose', 'forget', 'deaf'))
    if kind == 'lose':
        store.lose_answers = world.chance.randint(1, 3)
    elif kind == 'forget':
        store.forget_history()
    elif kind == 'deaf':
        store.deaf = True
        await asyncio.sleep(world.chance.uniform(0.1, 1))
        store.deaf = False
        store.forget_history()
    else:
        store.mode = kind
        await asyncio.sleep(_span(world))
        store.mode = 'ok'


async def spoil_replica(world: World) -> None:
    """Let a replica refuse, fail, hang or spoil answers for a while."""
    replica = world.chance.choice(world.list_present())
    name, wrong = world.chance.choice(
        (
            ('refuse', 503),
            ('fail', 500),
            ('hang', True),
            ('unframed_part', True),
            ('other_identity', True),
        )
    )
    setattr(replica, name, wrong)
    await asyncio.sleep(_span(world))
    # Not what it was before: two spells may overlap.
    setattr(replica, name, type(wrong)())


async def break_streams(world: World) -> None:
    """Tear the next stream of a replica, or let it stand still."""
    replica = world.chance.choice(world.list_present())
    if world.chance.randrange(2):
        replica.break_after = world.chance.randint(1, 4)
    else:
        replica.stall_after = world.chance.randint(1, 4)
        replica.stalls = 1


async def replace_replica(world: World) -> None:
    """Let a replica leave after its word, or without; another takes over."""
    old = world.chance.choice(world.list_present())
    if world.chance.randrange(3):
        old.register('draining')
        world.leaving[old.name] = asyncio.get_running_loop().time()
        await asyncio.sleep(world.chance.uniform(2, 3))
    new = ReplicaStandIn(
        old.name.rsplit('-', 1)[0],
        old.service,
        accelerator=old.accelerator,
        layers=old.layers,
    )
    await world.add_replica(new)
    if old in world.list_present():
        world.store.drop('servers', old.name)
    await asyncio.sleep(_span(world))
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
    trouble_store,
    trouble_store,
    spoil_replica,
    spoil_replica,
    break_streams,
    break_streams,
    replace_replica,
)


async def inject_faults(world: World, seconds: float) -> list[str]:
    """Inject faults at random times, and wait until all are over.

    :returns: their names in order.
    """
    loop = asyncio.get_running_loop()
    ends = loop.time() + seconds
    tasks: list[asyncio.Task[None]] = []
    names: list[str] = []
    while loop.time() < ends:
        fault = world.chance.choice(FAULTS)
        names.append(fault.__name__)
        tasks.append(asyncio.ensure_future(fault(world)))
        await asyncio.sleep(world.chance.uniform(*_PAUSE_SECONDS))
    await asyncio.gather(*tasks)
    return names
