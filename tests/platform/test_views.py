"""A node's view of the store during faults, over real sockets."""

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


def _list_kinds_without_history(node: RunningNode) -> set[str]:
    return {
        line['kind'] for line in node.lines if line['name'] == 'history-lost'
    }


def _count_watches(node: RunningNode) -> int:
    return sum('servers?watch' in call for call in node.store.calls)


async def test_new_configuration_is_in_force() -> None:
    """A revoked key still works, or a new one doesn't."""
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
    """An older configuration replaces the one that is in force.

    A lagging part of the store returns it. Going back would undo what
    operators saw confirmed.
    """
    async with run_node(make_non_model_replicas(1)) as node:
        node.store.put('config', 'main', make_configuration(9))
        await wait_until(lambda: node.count('configuration-applied') == 2)
        node.store.put('config', 'main', make_configuration(5, tenants=[]))
        await wait_until(lambda: node.count('configuration-refused'))
        status, _, _ = await ask(node, '/ping/x', Api_Key='stolen')
        assert status == 401


async def test_lost_history_is_listed_anew() -> None:
    """Changes are missed for good when the store drops its history.

    Watches received no events before that. Without a new list a revoked key
    stays accepted, and a replica that has left gets requests.
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
        await wait_until(lambda: _list_kinds_without_history(node) == kinds)
        assert not node.count('task-crashed')
        status, _, _ = await ask(node, '/ping/x')
        assert status == 401


async def test_watch_of_before_an_outage_is_renewed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A replica that left during a short outage gets requests.

    The store forgets the watch of the registry. Another call shows that the
    store is back, while the old watch would wait for seconds more.
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
        # The entry expired during an outage, so it is kept for 2 s.
        await wait_until(lambda: node.count('replica-gone'))


async def test_silent_connections_are_left_together(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A replica that left gets requests as a watch hangs on a dead connection.

    All connections to the store stop responding; new ones work. One call
    detects that, and a watch on another old connection would wait for 60 s.
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
    """Keyed requests are refused after a change of the configuration.

    A watch confirms the keys as of the time at which it was sent. If a change
    ends it late, the next watch must not wait as long again before it
    confirms them.
    """
    monkeypatch.setattr('ryelatch_platform._kinds.CONFIGURATION_WAIT', 4)
    async with run_node(make_non_model_replicas(1), revoke_seconds=6) as node:
        await asyncio.sleep(3.5)
        node.store.put('config', 'main', make_configuration(7))
        await wait_until(lambda: node.count('configuration-applied') == 2)
        # Longer than the second watch would wait in full.
        await asyncio.sleep(2)
        assert not node.count('configuration-stale')


async def test_unconfirmed_keys_are_refused() -> None:
    """A node that is cut off from the store accepts a revoked key for good.

    After a bound it must refuse keyed requests, with a promise that they
    did not run, and serve again once it has caught up with the store.
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
    """A node that starts during an outage answers 404 for existing routes.

    It has no configuration yet, so it can't rule out that a route exists.
    """
    async with run_node(make_non_model_replicas(1)) as node:
        view = node.app.find('configuration', object)
        view.table = None  # type: ignore[attr-defined]
        status, _, _ = await ask(node, '/ping/x')
        assert status == 503


async def test_client_retries_soon_before_initial_sync() -> None:
    """A client is told to wait for a repair although none is needed.

    A freshly started node hasn't listed the replicas yet. That it has no
    layers in its view doesn't mean that they are missing.
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
    """Entries that expired in an outage are dropped when the store is back.

    Their replicas are running, and no replica would be left to serve. The
    entries are kept until running replicas had time to register again.
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
    """An unreadable configuration replaces the one that is in force."""
    async with run_node(make_non_model_replicas(1)) as node:
        node.store.put('config', 'main', {'version': 'seven'})
        await wait_until(lambda: node.count('configuration-refused'))
        assert 'version' in node.find('configuration-refused')['reason']
        status, _, _ = await ask(node, '/ping/x')
        assert status == 200
        node.store.put('config', 'main', make_configuration(8))
        await wait_until(lambda: node.count('configuration-applied') == 2)


async def test_empty_fleet_is_placed() -> None:
    """A fleet of replicas without layers is never assigned any."""
    async with run_node(make_model_replicas(None, None, None, None)) as node:
        await wait_until(lambda: node.count('order-sent') >= 2)
        await wait_until(
            lambda: all(replica.layers for replica in node.replicas.values())
        )
        status, _, _ = await ask(node, '/plan/x')
        assert status == 200
        assert node.count('lease-taken') == 1
