"""Time until all nodes refuse a request that has crashed replicas.

Each attempt of its client reaches another node, so each crash is seen by one
node only. After the third crash no node may send the request. Nodes that reach
the store have 3 s in small fleets and 5 s in large ones to receive the crashes.
"""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

import pytest

from ryelatch_core.quarantine import Fingerprint, RequestPhase, make_part_key
from ryelatch_core.quarantine._tracker import TRIAL_DELAYS_SECONDS
from ryelatch_platform._quarantine import QUARANTINE_KIND
from virtual.loop import VirtualClock, run
from virtual.store import Trouble
from virtual.world import World

_REQUEST = Fingerprint('0123456789abcdef')
_PART = make_part_key('model', 'dead')


@dataclass(frozen=True)
class _Fleet:
    """A fleet, and the time within which its nodes must refuse the request.

    :param nodes: number of nodes.
    :param drain: see :class:`virtual.world.World`.
    :param bound: that time in seconds.
    """

    nodes: int
    drain: float
    bound: float


_SMALL = _Fleet(7, 2, 3)
_LARGE = _Fleet(72, 4, 5)
_FLEETS = pytest.mark.parametrize('fleet', [_SMALL, _LARGE])


async def _start(fleet: _Fleet) -> World:
    names = [f'node-{number:02}' for number in range(fleet.nodes)]
    zones = {name: f'zone-{place % 3}' for place, name in enumerate(names)}
    world = World(
        fleet.drain, fleet.bound, zones=zones, follows_quarantine=True
    )
    await world.start(names)
    return world


def _record_crashes(world: World, names: Iterable[str]) -> None:
    """Record one crash at each of some nodes."""
    for number, name in enumerate(names):
        world.nodes[name].quarantine.record_crash(
            _REQUEST, f'r-{number}', RequestPhase.BEGUN, 'c-1'
        )


def _list_forwarding(world: World, exempt: Iterable[str] = ()) -> list[str]:
    """List the nodes that would forward the request."""
    return [
        name
        for name, node in world.nodes.items()
        if name not in exempt and not node.quarantine.find_refused(_REQUEST)
    ]


@_FLEETS
def test_crashes_seen_at_once_by_three(fleet: _Fleet) -> None:
    """Three crashes at the same moment, at three nodes, are shared too late.

    Each node sees one crash and holds it back for a while, as most single
    crashes have other causes.
    """

    async def play() -> None:
        world = await _start(fleet)
        _record_crashes(world, ('node-01', 'node-02', 'node-03'))
        await asyncio.sleep(fleet.bound / 2)
        assert not _list_forwarding(world)
        await world.stop()

    run(play())


@_FLEETS
def test_crashes_seen_one_after_the_other(fleet: _Fleet) -> None:
    """The third crash isn't shared at once.

    The client retries every second, each time at another node.
    """

    async def play() -> None:
        world = await _start(fleet)
        for number, name in enumerate(('node-01', 'node-02', 'node-03')):
            node = world.nodes[name]
            node.quarantine.record_crash(
                _REQUEST, f'r-{number}', RequestPhase.BEGUN, 'c-1'
            )
            await asyncio.sleep(1)
        assert not _list_forwarding(world)
        await world.stop()

    run(play())


@_FLEETS
@pytest.mark.parametrize('trouble', [Trouble.SILENT, Trouble.BUSY])
def test_store_outage_while_replicas_crash(
    fleet: _Fleet, trouble: Trouble
) -> None:
    """Crashes during an outage are not shared in time after it.

    The outage begins before the first crash and ends after the last one. The
    bound holds from the end of the outage.
    """

    async def play() -> None:
        world = await _start(fleet)
        world.store.troubles.update(dict.fromkeys(world.nodes, trouble))
        await asyncio.sleep(1)
        _record_crashes(world, ('node-01', 'node-02', 'node-03'))
        await asyncio.sleep(4)
        world.store.troubles.clear()
        await asyncio.sleep(fleet.bound)
        assert not _list_forwarding(world)
        await world.stop()

    run(play())


@_FLEETS
def test_store_is_slow_and_forgets(fleet: _Fleet) -> None:
    """Crashes are missed with a slow store that drops its history.

    Each response takes 0.2 s; the history is dropped between two crashes.
    """

    async def play() -> None:
        world = await _start(fleet)
        world.store.delay = 0.2
        _record_crashes(world, ('node-01', 'node-02'))
        await asyncio.sleep(0.5)
        world.store.forget_history()
        world.nodes['node-04'].quarantine.record_crash(
            _REQUEST, 'r-9', RequestPhase.BEGUN, 'c-1'
        )
        await asyncio.sleep(fleet.bound)
        assert not _list_forwarding(world)
        await world.stop()

    run(play())


def test_peers_that_watch_are_lost() -> None:
    """Crashes are missed as the nodes that watch for others lose power.

    Their followers have to detect that and follow other nodes or the store.
    """

    async def play() -> None:
        world = await _start(_LARGE)
        lost = {'node-00', 'node-01', 'node-02'}
        await asyncio.sleep(3)
        for name in lost:
            world.unreachable.add(name)
            await world.nodes[name].follower.stop()
        _record_crashes(world, ('node-10', 'node-20', 'node-30'))
        await asyncio.sleep(_LARGE.bound)
        assert not _list_forwarding(world, exempt=lost)
        await world.stop()

    run(play())


def _record_part_crashes(world: World, names: Iterable[str]) -> None:
    """Record a crash at each of some nodes, under requests with one part."""
    for number, name in enumerate(names):
        request = Fingerprint(f'{number:016x}', (_PART,))
        world.nodes[name].quarantine.record_crash(
            request, f'r-{number}', RequestPhase.BEGUN, f'c-{number}'
        )


def _list_forwarding_part(
    world: World, exempt: Iterable[str] = ()
) -> list[str]:
    """List the nodes that would forward another request with the part.

    A request that is held isn't forwarded.
    """
    other = Fingerprint('f' * 16, (_PART,))
    now = VirtualClock().monotonic()
    return [
        name
        for name, node in world.nodes.items()
        if name not in exempt
        and not node.quarantine.tracker.is_unsettled(other, now)
        and not node.quarantine.find_refused(other)
    ]


@_FLEETS
def test_crashes_under_a_part_seen_by_five(fleet: _Fleet) -> None:
    """Five requests crash a replica each, at a node each, and share a part."""

    async def play() -> None:
        world = await _start(fleet)
        _record_part_crashes(
            world, [f'node-{number:02}' for number in range(1, 6)]
        )
        await asyncio.sleep(fleet.bound)
        assert not _list_forwarding_part(world)
        await world.stop()

    run(play())


@_FLEETS
def test_node_that_saw_most_crashes_is_killed(fleet: _Fleet) -> None:
    """The crashes of a part are lost with the node that saw four of them.

    They were written at the second of them, as the first is kept for a while.
    """

    async def play() -> None:
        world = await _start(fleet)
        _record_part_crashes(world, ['node-01', *['node-02'] * 4])
        await asyncio.sleep(1)
        await world.nodes['node-02'].stop()
        world.unreachable.add('node-02')
        await asyncio.sleep(fleet.bound)
        assert not _list_forwarding_part(world, exempt=('node-02',))
        await world.stop()

    run(play())


@_FLEETS
def test_all_nodes_start_while_a_part_is_refused(fleet: _Fleet) -> None:
    """All nodes are stopped and started, and each lets the part in."""

    async def play() -> None:
        world = await _start(fleet)
        _record_part_crashes(world, ('node-01', 'node-02', 'node-03'))
        await asyncio.sleep(fleet.bound)
        await world.restart(list(world.nodes))
        await asyncio.sleep(fleet.bound)
        assert not _list_forwarding_part(world)
        await world.stop()

    run(play())


def test_one_node_of_all_gets_the_trial() -> None:
    """Each of seven nodes lets a refused part in, and crashes a replica."""

    async def play() -> None:
        world = await _start(_SMALL)
        _record_part_crashes(world, ('node-01', 'node-02', 'node-03'))
        await asyncio.sleep(TRIAL_DELAYS_SECONDS[0] + _SMALL.bound)
        requests = [
            Fingerprint(f'{number:016x}', (_PART,)) for number in range(10, 17)
        ]
        nodes = list(world.nodes.values())
        assert all(
            node.quarantine.may_claim_trial(request)
            for node, request in zip(nodes, requests, strict=True)
        )
        claims = await asyncio.gather(
            *(
                node.quarantine.claim_trial(request)
                for node, request in zip(nodes, requests, strict=True)
            )
        )
        assert sum(claims) == 1
        await asyncio.sleep(_SMALL.bound)
        assert not any(
            node.quarantine.may_claim_trial(request)
            for node, request in zip(nodes, requests, strict=True)
        )
        await world.stop()

    run(play())


@_FLEETS
def test_crashes_cause_few_store_calls(fleet: _Fleet) -> None:
    """The loss of many replicas causes many calls to the store.

    Most interrupted requests then run elsewhere; their crashes must not be
    written.
    """

    async def play() -> None:
        world = await _start(fleet)
        before = len(world.store.calls)
        for number, node in enumerate(world.nodes.values()):
            node.quarantine.record_crash(
                Fingerprint(f'{number:016x}'), 'r-1', RequestPhase.BEGUN, 'c-1'
            )
        await asyncio.sleep(0.2)
        for number, node in enumerate(world.nodes.values()):
            node.quarantine.record_run(Fingerprint(f'{number:016x}'))
        await asyncio.sleep(1)
        paths = [path for _, _, path in world.store.calls[before:]]
        assert not any(map(_changes_an_object, paths))
        await world.stop()

    run(play())


def _changes_an_object(path: str) -> bool:
    """Return whether a call after the initial ones can only be a write."""
    return path.startswith(QUARANTINE_KIND) and 'watch=' not in path
