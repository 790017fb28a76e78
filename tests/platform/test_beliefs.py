"""What a node believes when the store is in trouble, over real sockets."""

import asyncio

import pytest

from fleet.running import (
    RunningNode,
    ask,
    make_configuration,
    make_model_replicas,
    make_non_model_replicas,
    make_route,
    run_node,
    wait_until,
)
from ryelatch_node.views import ReplicaView


def _list_lost(node: RunningNode) -> set[str]:
    return {
        line['kind'] for line in node.lines if line['name'] == 'history-lost'
    }


def _count_watches(node: RunningNode) -> int:
    return sum('servers?watch' in call for call in node.store.calls)


async def test_new_configuration_is_in_force() -> None:
    """A key is taken away and another given."""
    async with run_node(make_non_model_replicas(1)) as node:
        accounts = [{'name': 'ward-1', 'apiKeys': ['new-key']}]
        node.store.put(
            'config', 'main', make_configuration(7, tenants=accounts)
        )
        await wait_until(lambda: node.count('configuration-applied') == 2)
        status, _, _ = await ask(node, '/ping/x')
        assert status == 401
        status, _, _ = await ask(node, '/ping/x', Api_Key='new-key')
        assert status == 200


async def test_older_configuration_is_ignored() -> None:
    """A part of the store lags and gives an older version than was seen.

    Going back would undo what operators were told is in force.
    """
    async with run_node(make_non_model_replicas(1)) as node:
        node.store.put('config', 'main', make_configuration(9))
        await wait_until(lambda: node.count('configuration-applied') == 2)
        node.store.put('config', 'main', make_configuration(5, tenants=[]))
        await wait_until(lambda: node.count('configuration-refused'))
        status, _, _ = await ask(node, '/ping/x', Api_Key='stolen')
        assert status == 401


async def test_lost_history_is_listed_anew() -> None:
    """The store hears nothing for a while, then drops its history.

    Changes of that while come in no watch: a key taken away would be
    accepted for good, and a replica that left get work.
    """
    async with run_node(make_non_model_replicas(2)) as node:
        node.store.deaf = True
        accounts = [{'name': 'ward-1', 'apiKeys': ['new-key']}]
        node.store.put(
            'config', 'main', make_configuration(7, tenants=accounts)
        )
        node.store.drop('servers', 'b-0')
        node.store.deaf = False
        node.store.forget_history()
        await wait_until(lambda: node.count('configuration-applied') == 2)
        await wait_until(lambda: node.count('replica-gone') == 1)
        kinds = {
            'config',
            'servers',
            'ryelatch-leases',
            'ryelatch-quarantine',
        }
        await wait_until(lambda: _list_lost(node) == kinds)
        assert not node.count('task-crashed')
        status, _, _ = await ask(node, '/ping/x')
        assert status == 401


async def test_watch_of_before_an_outage_is_renewed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The store is away for a moment, and forgets who watched the registry.

    Another call tells that it is back. The old watch would wait for seconds
    more, and a replica that left meanwhile get work.
    """
    follow = 'ryelatch_platform._kinds'
    monkeypatch.setattr(f'{follow}.REGISTRY_WAIT', 60)
    monkeypatch.setattr(f'{follow}.CONFIGURATION_WAIT', 0.2)
    async with run_node(make_non_model_replicas(2)) as node:
        await wait_until(lambda: _count_watches(node) > 0)
        node.store.deaf = True
        node.store.drop('servers', 'b-0')
        node.store.mode = 'busy'
        await wait_until(lambda: node.count('store-out'))
        node.store.deaf = False
        node.store.mode = 'ok'
        await wait_until(lambda: node.count('store-back'))
        # It lapsed in an outage, so it is kept for two seconds.
        await wait_until(lambda: node.count('replica-gone'))


async def test_silent_connections_are_left_together(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All connections to the store go silent, and new ones work.

    One call finds out. A watch on another of the old connections would wait
    for a minute here, and a replica that left get work.
    """
    follow = 'ryelatch_platform._kinds'
    monkeypatch.setattr(f'{follow}.REGISTRY_WAIT', 60)
    monkeypatch.setattr(f'{follow}.CONFIGURATION_WAIT', 0.2)
    async with run_node(make_non_model_replicas(2)) as node:
        await wait_until(lambda: _count_watches(node) > 0)
        node.store.deaf = True
        node.store.drop('servers', 'b-0')
        node.store.mode = 'silent'
        await wait_until(lambda: node.count('store-out'))
        node.store.deaf = False
        node.store.mode = 'ok'
        await wait_until(lambda: node.count('replica-gone'))


async def test_change_leaves_keys_confirmed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The configuration changes at the end of a watch's wait.

    The watch confirms only when it was sent. The next one waited as long
    again, and keyed requests were refused meanwhile, at each change and at a
    third of the nodes.
    """
    monkeypatch.setattr('ryelatch_platform._kinds.CONFIGURATION_WAIT', 4)
    async with run_node(make_non_model_replicas(1), revoke_seconds=6) as node:
        await asyncio.sleep(3.5)
        node.store.put('config', 'main', make_configuration(7))
        await wait_until(lambda: node.count('configuration-applied') == 2)
        # Till after the time at which a second whole wait would be over.
        await asyncio.sleep(2)
        assert not node.count('configuration-stale')


async def test_unconfirmed_keys_are_refused() -> None:
    """A node is cut off from the store; a key is taken away meanwhile.

    The node can't know. After a bound it refuses keyed requests with a
    promise that they did not run, and serves again when it has caught up.
    """
    async with run_node(make_non_model_replicas(1), revoke_seconds=2.5) as node:
        status, _, _ = await ask(node, '/ping/x')
        assert status == 200
        node.store.mode = 'silent'
        await wait_until(lambda: node.count('configuration-stale'))
        status, _, headers = await ask(node, '/ping/x')
        assert status == 503
        assert float(headers['retry-after']) > 0
        async with node.http.get(
            f'http://127.0.0.1:{node.server.readiness.port}/readyz'
        ) as response:
            assert response.status == 503
        node.store.mode = 'ok'
        await wait_until(lambda: node.count('configuration-fresh'))
        status, _, _ = await ask(node, '/ping/x')
        assert status == 200


async def test_unconfigured_node_denies_nothing() -> None:
    """A node starts while the store is out.

    It knows no route, but that is no proof that there is none.
    """
    async with run_node(make_non_model_replicas(1)) as node:
        view = node.app.find('configuration', object)
        view.table = None  # type: ignore[attr-defined]
        status, _, _ = await ask(node, '/ping/x')
        assert status == 503


async def test_client_retries_soon_before_initial_sync() -> None:
    """A node has just started and has not listed the replicas.

    It knows of no layers, but none are missing: the client comes back at
    once, and not after the time of a repair.
    """
    async with run_node(make_model_replicas((0, 8))) as node:
        node.app.find('replicas', ReplicaView).listed = False
        status, body, headers = await ask(node, '/plan/x')
        assert status == 503
        assert b'no registry yet' in body
        assert float(headers['retry-after']) < 1


async def test_leaving_replica_gets_no_new_work() -> None:
    async with run_node(make_non_model_replicas(2)) as node:
        node.replicas['b-0'].register('draining')
        await wait_until(lambda: node.count('replica-leaving'))
        for number in range(4):
            _, body, _ = await ask(node, '/ping/x', identity=f'r-{number}')
            assert body == b'answer of b-1'


async def test_lapsed_entries_may_come_back() -> None:
    """The store is away, and entries of live replicas lapse meanwhile.

    Dropping them at its return would leave nobody to serve. They are kept
    for as long as it takes those that live to come back.
    """
    async with run_node(make_non_model_replicas(2)) as node:
        node.store.mode = 'busy'
        await wait_until(lambda: node.count('store-out'))
        node.store.drop('servers', 'b-0')
        node.store.drop('servers', 'b-1')
        node.store.mode = 'ok'
        await wait_until(lambda: node.count('replica-lapsed') == 2)
        status, _, _ = await ask(node, '/ping/x')
        assert status == 200
        node.replicas['b-1'].register()
        await wait_until(lambda: node.count('replica-gone') == 1)
        assert node.find('replica-gone')['replica'] == 'b-0'


async def test_added_route_is_served() -> None:
    async with run_node(make_non_model_replicas(1)) as node:
        routes = [make_route('ping'), make_route('extra')]
        node.store.put('config', 'main', make_configuration(2, routes=routes))
        await wait_until(lambda: node.count('configuration-applied') == 2)
        status, _, _ = await ask(node, '/extra/x')
        assert status == 200


async def test_unreadable_configuration_is_let_be() -> None:
    """A version comes that can't be read; the one in force stays."""
    async with run_node(make_non_model_replicas(1)) as node:
        node.store.put('config', 'main', {'version': 'seven'})
        await wait_until(lambda: node.count('configuration-refused'))
        assert 'version' in node.find('configuration-refused')['reason']
        status, _, _ = await ask(node, '/ping/x')
        assert status == 200
        node.store.put('config', 'main', make_configuration(8))
        await wait_until(lambda: node.count('configuration-applied') == 2)


async def test_empty_fleet_is_placed() -> None:
    """A first start: replicas are empty, and one node places the layers."""
    async with run_node(make_model_replicas(None, None, None, None)) as node:
        await wait_until(lambda: node.count('order-sent') >= 2)
        await wait_until(
            lambda: all(one.layers for one in node.replicas.values())
        )
        status, _, _ = await ask(node, '/plan/x')
        assert status == 200
        assert node.count('lease-taken') == 1
