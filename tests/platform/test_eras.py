"""Nodes while the store comes back from an older copy, in a new era."""

import asyncio

import pytest

from fleet.running import make_configuration
from virtual.loop import run
from virtual.store import Trouble
from virtual.world import World, make_entry

_NAMES = ('node-a', 'node-b', 'node-c')
_AWAY_SECONDS = 1.0
_COPY_SECONDS = 4.0
_AGAIN_SECONDS = 0.6
_REVOKE_SECONDS = 5.0
_CHECK_SECONDS = 0.05
_TAKEN, _KEPT = 'taken-key', 'kept-key'


def _configure(world: World, version: int, *keys: str) -> None:
    accounts = [{'name': 'ward-1', 'apiKeys': list(keys)}]
    world.store.put(
        'config', 'main', make_configuration(version, tenants=accounts)
    )


def _accepts(world: World, name: str, key: str) -> bool:
    view = world.nodes[name].configuration
    assert view.table is not None
    return view.allows_keys() and view.table.find_account(key) is not None


async def _restore(world: World, age: float = _COPY_SECONDS) -> None:
    world.store.go_away()
    await asyncio.sleep(_AWAY_SECONDS)
    world.store.restore(age, _AGAIN_SECONDS)


def test_key_revoked_at_a_return_is_refused() -> None:
    """A revoked key is accepted for good after the store lost its last writes.

    The new configuration gets the revision up to which nodes watch already.
    """

    async def play() -> None:
        world = World()
        await world.start(_NAMES)
        _configure(world, 7, _TAKEN, _KEPT)
        await asyncio.sleep(_COPY_SECONDS)
        world.register('b-new')
        await asyncio.sleep(2)
        await _restore(world)
        _configure(world, 8, _KEPT)
        await asyncio.sleep(_REVOKE_SECONDS)
        assert not any(_accepts(world, name, _TAKEN) for name in _NAMES)
        assert all(_accepts(world, name, _KEPT) for name in _NAMES)
        await world.stop()

    run(play())


@pytest.mark.parametrize(
    'headers',
    [
        {},
        {'Store-Era': ''},
        {'Store-Era': 'two'},
        {'Store-Era': '-2'},
        {'Store-Era': '2.0'},
        {'Store-Era': '٢'},
        {'Store-Era': '9' * 40},
        {'Store-Era': '9' * 10},
        {'Store-Era': '0'},
    ],
)
def test_response_without_an_era_confirms_nothing(
    headers: dict[str, str],
) -> None:
    """A revoked key is accepted by a response of which the era is unknown."""

    async def play() -> None:
        world = World()
        await world.start(_NAMES)
        _configure(world, 7, _TAKEN, _KEPT)
        await asyncio.sleep(_COPY_SECONDS)
        world.register('b-new')
        await asyncio.sleep(2)
        world.store.headers['node-a'] = headers
        await _restore(world)
        _configure(world, 8, _KEPT)
        await asyncio.sleep(_REVOKE_SECONDS)
        assert not any(_accepts(world, name, _TAKEN) for name in _NAMES)
        assert world.nodes['node-a'].count('era-refused') == 1
        del world.store.headers['node-a']
        await asyncio.sleep(_REVOKE_SECONDS)
        assert all(_accepts(world, name, _KEPT) for name in _NAMES)
        await world.stop()

    run(play())


def test_response_of_an_earlier_era_is_dropped() -> None:
    """A late response of the era before is taken for the store's state."""

    async def play() -> None:
        world = World()
        await world.start(_NAMES)
        await _restore(world)
        await asyncio.sleep(_REVOKE_SECONDS)
        world.store.headers['node-a'] = {'Store-Era': '1'}
        version = world.nodes['node-a'].configuration.version
        _configure(world, 8, _KEPT)
        await asyncio.sleep(_REVOKE_SECONDS)
        assert world.nodes['node-a'].configuration.version == version
        assert not world.nodes['node-a'].configuration.allows_keys()
        assert world.nodes['node-a'].count('era-refused') == 1
        await world.stop()

    run(play())


def test_store_that_names_no_era_is_followed() -> None:
    """A node that never heard of an era takes each response for unusable."""

    async def play() -> None:
        world = World()
        world.store.headers['node-a'] = {}
        await world.start(_NAMES)
        _configure(world, 8, _KEPT)
        await asyncio.sleep(_REVOKE_SECONDS)
        assert _accepts(world, 'node-a', _KEPT)
        assert world.nodes['node-a'].count('era-refused') == 1
        await world.stop()

    run(play())


@pytest.mark.parametrize('apart', [0.5, 3, 9])
def test_second_return_is_noticed_too(apart: float) -> None:
    """Nodes miss that the store came back from a copy a second time."""

    async def play() -> None:
        world = World()
        await world.start(_NAMES)
        _configure(world, 7, _TAKEN, _KEPT)
        await asyncio.sleep(_COPY_SECONDS)
        await _restore(world)
        await asyncio.sleep(apart)
        world.register('b-new')
        await _restore(world)
        _configure(world, 8, _KEPT)
        await asyncio.sleep(_REVOKE_SECONDS)
        assert not any(_accepts(world, name, _TAKEN) for name in _NAMES)
        assert all(_accepts(world, name, _KEPT) for name in _NAMES)
        for node in world.nodes.values():
            assert node.view.listed
            assert node.offers('b-new')
            assert node.store.eras.current == 3
        await world.stop()

    run(play())


def test_return_is_noticed_after_a_cut() -> None:
    """A node meets the new era at a revision beyond the one that it has."""

    async def play() -> None:
        world = World()
        await world.start(_NAMES)
        _configure(world, 7, _TAKEN, _KEPT)
        await asyncio.sleep(_COPY_SECONDS)
        world.store.troubles['node-a'] = Trouble.SILENT
        await _restore(world)
        _configure(world, 8, _KEPT)
        for number in range(9):
            world.register(f'new-{number}')
        await asyncio.sleep(20)
        del world.store.troubles['node-a']
        await asyncio.sleep(_REVOKE_SECONDS)
        assert not any(_accepts(world, name, _TAKEN) for name in _NAMES)
        assert all(_accepts(world, name, _KEPT) for name in _NAMES)
        assert world.nodes['node-a'].offers('new-8')
        await world.stop()

    run(play())


async def _expect_refused(world: World, key: str, seconds: float) -> None:
    """Check for a time that no node accepts a key."""
    for _ in range(round(seconds / _CHECK_SECONDS)):
        assert not any(_accepts(world, name, key) for name in world.nodes)
        await asyncio.sleep(_CHECK_SECONDS)


@pytest.mark.parametrize('again', [0.6, 1.8])
def test_revocation_that_was_lost_is_not_undone(again: float) -> None:
    """A key is accepted as the copy of the store still has it.

    The node was cut off when the key was revoked. The store then came back
    from an older copy, and the node read it before the operator wrote again.
    """

    async def play() -> None:
        world = World()
        await world.start(_NAMES)
        _configure(world, 7, _TAKEN, _KEPT)
        await asyncio.sleep(_COPY_SECONDS)
        world.store.troubles['node-a'] = Trouble.SILENT
        _configure(world, 8, _KEPT)
        await asyncio.sleep(_REVOKE_SECONDS / 2)
        world.store.go_away()
        await asyncio.sleep(_AWAY_SECONDS)
        world.store.restore(_COPY_SECONDS, again)
        del world.store.troubles['node-a']
        await asyncio.sleep(_REVOKE_SECONDS / 2 - _AWAY_SECONDS)
        await _expect_refused(world, _TAKEN, _REVOKE_SECONDS)
        assert all(_accepts(world, name, _KEPT) for name in _NAMES)
        await world.stop()

    run(play())


@pytest.mark.parametrize(('again', 'started'), [(1.8, 0.2), (4.5, 3)])
def test_node_that_starts_asks_its_peers(again: float, started: float) -> None:
    """A starting node accepts a key whose revocation the store has lost.

    It has nothing to compare the store's older configuration with.
    """

    async def play() -> None:
        world = World()
        await world.start(_NAMES)
        _configure(world, 7, _TAKEN, _KEPT)
        await asyncio.sleep(_COPY_SECONDS)
        _configure(world, 8, _KEPT)
        await asyncio.sleep(_REVOKE_SECONDS)
        world.store.go_away()
        await asyncio.sleep(_AWAY_SECONDS)
        world.store.restore(2 * _COPY_SECONDS, again)
        await asyncio.sleep(started)
        await world.restart(['node-c'], counted=True)
        await asyncio.sleep(0.1)
        assert world.nodes['node-c'].configuration.table is not None
        await _expect_refused(world, _TAKEN, 2 * _REVOKE_SECONDS)
        assert all(_accepts(world, name, _KEPT) for name in _NAMES)
        await world.stop()

    run(play())


def test_late_revocation_is_not_undone() -> None:
    """A node that missed a revocation takes the store's older configuration.

    The store came back from an older copy, and the operator writes again only
    after the time in which that is expected. A peer has seen the revocation.
    """

    async def play() -> None:
        world = World()
        await world.start(_NAMES)
        _configure(world, 7, _TAKEN, _KEPT)
        await asyncio.sleep(_COPY_SECONDS)
        world.store.troubles['node-a'] = Trouble.SILENT
        _configure(world, 8, _KEPT)
        await asyncio.sleep(_REVOKE_SECONDS / 2)
        world.store.go_away()
        await asyncio.sleep(_AWAY_SECONDS)
        world.store.restore(_COPY_SECONDS, 2 * _REVOKE_SECONDS)
        del world.store.troubles['node-a']
        await asyncio.sleep(_REVOKE_SECONDS / 2 - _AWAY_SECONDS)
        await _expect_refused(world, _TAKEN, 2 * _REVOKE_SECONDS)
        assert all(_accepts(world, name, _KEPT) for name in _NAMES)
        await world.stop()

    run(play())


def test_older_version_confirms_nothing() -> None:
    """A node takes the store's older configuration for a confirmation.

    The store lost two versions, of which the node has only the first.
    """

    async def play() -> None:
        world = World()
        await world.start(_NAMES)
        _configure(world, 7, _TAKEN, _KEPT)
        await asyncio.sleep(_COPY_SECONDS)
        _configure(world, 8, _TAKEN, _KEPT)
        await asyncio.sleep(1)
        world.store.troubles['node-a'] = Trouble.SILENT
        _configure(world, 9, _KEPT)
        await asyncio.sleep(1)
        world.store.go_away()
        await asyncio.sleep(_AWAY_SECONDS)
        world.store.restore(_COPY_SECONDS, 2 * _REVOKE_SECONDS)
        del world.store.troubles['node-a']
        calls = len(world.store.calls)
        await asyncio.sleep(_REVOKE_SECONDS - _AWAY_SECONDS - 1)
        await _expect_refused(world, _TAKEN, 2 * _REVOKE_SECONDS)
        assert all(_accepts(world, name, _KEPT) for name in _NAMES)
        # A watch each 0.8 s and 2.2 s at three nodes for 13 s, and lists.
        assert len(world.store.calls) - calls < 120
        await world.stop()

    run(play())


def test_keys_stay_accepted_over_a_return() -> None:
    """Nodes in touch refuse all keys as the store comes back from a copy."""

    async def play() -> None:
        world = World()
        await world.start(_NAMES)
        _configure(world, 7, _KEPT)
        await asyncio.sleep(2 * _COPY_SECONDS)
        world.store.go_away()
        await asyncio.sleep(0.2)
        world.store.restore(_COPY_SECONDS, _AGAIN_SECONDS)
        for _ in range(round(2 * _REVOKE_SECONDS / _CHECK_SECONDS)):
            assert all(_accepts(world, name, _KEPT) for name in _NAMES)
            await asyncio.sleep(_CHECK_SECONDS)
        await world.stop()

    run(play())


def test_replica_that_the_copy_lacks_stays_in_use() -> None:
    """A replica that registered just before gets no requests for a while."""

    async def play() -> None:
        world = World()
        await world.start(_NAMES)
        await asyncio.sleep(_COPY_SECONDS)
        world.register('b-new')
        await asyncio.sleep(2)
        world.store.restore(_COPY_SECONDS, 1.5)
        for _ in range(round(5 / _CHECK_SECONDS)):
            assert all(node.offers('b-new') for node in world.nodes.values())
            await asyncio.sleep(_CHECK_SECONDS)
        await world.stop()

    run(play())


def test_replica_that_the_copy_lost_is_dropped() -> None:
    """A replica whose entry is not written again stays in use."""

    async def play() -> None:
        world = World()
        await world.start(_NAMES)
        await asyncio.sleep(_COPY_SECONDS)
        world.store.put('servers', 'b-new', make_entry('b-new'), by_node=True)
        await asyncio.sleep(2)
        assert all(node.offers('b-new') for node in world.nodes.values())
        world.store.restore(_COPY_SECONDS, 1.5)
        await asyncio.sleep(5)
        assert not any(node.offers('b-new') for node in world.nodes.values())
        await world.stop()

    run(play())


@pytest.mark.parametrize('gone', [False, True])
def test_replica_that_left_is_not_used_again(gone: bool) -> None:
    """A replica gets requests as the copy of the store has it as ready.

    It has announced that it leaves, or its entry was deleted.
    """

    async def play() -> None:
        world = World()
        await world.start(_NAMES)
        await asyncio.sleep(_COPY_SECONDS)
        if gone:
            world.deregister('b-1')
        else:
            world.register('b-1', state='draining')
        await asyncio.sleep(1)
        world.store.restore(_COPY_SECONDS, 1.5)
        for _ in range(round(5 / _CHECK_SECONDS)):
            offering = [node.offers('b-1') for node in world.nodes.values()]
            assert not any(offering)
            await asyncio.sleep(_CHECK_SECONDS)
        assert all(node.offers('b-2') for node in world.nodes.values())
        await world.stop()

    run(play())


def test_replica_that_registers_again_is_used() -> None:
    """An entry had lapsed, and its replica is kept out although it is back."""

    async def play() -> None:
        world = World()
        await world.start(_NAMES)
        await asyncio.sleep(_COPY_SECONDS)
        world.store.drop('servers', 'b-1', by_node=True)
        await asyncio.sleep(1)
        world.store.restore(_COPY_SECONDS, 1.5)
        await asyncio.sleep(1)
        world.register('b-1')
        await asyncio.sleep(1)
        assert all(node.offers('b-1') for node in world.nodes.values())
        await world.stop()

    run(play())


def test_replica_that_had_come_back_stays_in_use() -> None:
    """An entry was deleted and written again, and a later return drops it."""

    async def play() -> None:
        world = World()
        await world.start(_NAMES)
        world.store.drop('servers', 'b-1', by_node=True)
        await asyncio.sleep(1)
        world.register('b-1')
        await asyncio.sleep(2 * _COPY_SECONDS)
        world.store.restore(_COPY_SECONDS, 1.5)
        for _ in range(round(5 / _CHECK_SECONDS)):
            assert all(node.offers('b-1') for node in world.nodes.values())
            await asyncio.sleep(_CHECK_SECONDS)
        await world.stop()

    run(play())


@pytest.fixture
def _shared(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let few nodes watch the store for the others."""
    monkeypatch.setattr(
        'ryelatch_core.membership._watchers.MIN_SHARING_NODES', 1
    )


@pytest.mark.usefixtures('_shared')
def test_followers_notice_the_return() -> None:
    """Nodes that watch through a peer go on with revisions that are lost."""

    async def play() -> None:
        world = World()
        await world.start(_NAMES)
        _configure(world, 7, _TAKEN, _KEPT)
        await asyncio.sleep(_COPY_SECONDS)
        world.register('b-new')
        await asyncio.sleep(2)
        await _restore(world)
        _configure(world, 8, _KEPT)
        await asyncio.sleep(_REVOKE_SECONDS)
        assert not any(_accepts(world, name, _TAKEN) for name in _NAMES)
        assert all(_accepts(world, name, _KEPT) for name in _NAMES)
        assert all(node.offers('b-new') for node in world.nodes.values())
        await world.stop()

    run(play())


@pytest.mark.parametrize('shared', [False, True])
def test_return_is_noticed_through_peers_alone(
    shared: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A node that reaches only its peers refuses all keys after a return."""
    if shared:
        monkeypatch.setattr(
            'ryelatch_core.membership._watchers.MIN_SHARING_NODES', 1
        )

    async def play() -> None:
        world = World()
        await world.start(_NAMES)
        _configure(world, 7, _TAKEN, _KEPT)
        await asyncio.sleep(_COPY_SECONDS)
        world.register('b-new')
        world.store.troubles['node-c'] = Trouble.SILENT
        await asyncio.sleep(2)
        await _restore(world)
        _configure(world, 8, _KEPT)
        await asyncio.sleep(_REVOKE_SECONDS)
        assert not any(_accepts(world, name, _TAKEN) for name in _NAMES)
        await asyncio.sleep(_REVOKE_SECONDS)
        assert all(_accepts(world, name, _KEPT) for name in _NAMES)
        assert world.nodes['node-c'].store.eras.current == 2
        world.register('b-newer')
        await asyncio.sleep(3)
        assert world.nodes['node-c'].offers('b-newer')
        await world.stop()

    run(play())


@pytest.mark.usefixtures('_shared')
def test_peer_of_the_era_before_is_left() -> None:
    """A node uses what a peer has from before the store came back.

    The peer is cut off from the store, and hasn't noticed.
    """

    async def play() -> None:
        world = World()
        await world.start(_NAMES)
        _configure(world, 7, _TAKEN, _KEPT)
        await asyncio.sleep(_COPY_SECONDS)
        # The first node has the fastest link, and watches for the others.
        world.store.troubles['node-a'] = Trouble.SILENT
        world.unreachable.add('node-a')
        await _restore(world)
        _configure(world, 8, _KEPT)
        await asyncio.sleep(_REVOKE_SECONDS)
        world.unreachable.clear()
        await _expect_refused(world, _TAKEN, _REVOKE_SECONDS)
        assert all(_accepts(world, name, _KEPT) for name in _NAMES[1:])
        await world.stop()

    run(play())
