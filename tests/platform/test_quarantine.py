"""Quarantine of requests that crash replicas, shared by all nodes."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import pytest

from fleet.running import (
    KEY,
    RunningNode,
    ask,
    make_configuration,
    make_model_replicas,
    make_non_model_replicas,
    run_node,
    run_peer,
    wait_until,
)
from ryelatch_core.quarantine import Fingerprint, RequestPhase, digest_request
from ryelatch_node.quarantine import Quarantine
from ryelatch_node.views import ReplicaView
from standins.replica import ReplicaStandIn

_CRASHING = b'a question under which replicas end'
_DIGEST = digest_request('city.example', 'POST', '/ping/x', 'ward-1', _CRASHING)
_KIND = 'ryelatch-quarantine'
_OTHER_KEY = 'ward-2-key'


@contextlib.asynccontextmanager
async def _run_node(
    replicas: list[ReplicaStandIn],
    **changes: Any,
) -> AsyncIterator[RunningNode]:
    for replica in replicas:
        replica.crash_on = _CRASHING
    accounts = [
        {'name': 'ward-1', 'apiKeys': [KEY]},
        {'name': 'ward-2', 'apiKeys': [_OTHER_KEY]},
    ]
    configuration = make_configuration(tenants=accounts, **changes)
    async with run_node(replicas, configuration) as node:
        yield node


async def _crash_three(node: RunningNode) -> None:
    """Crash replicas with a request until it is quarantined."""
    for number in range(3):
        await ask(node, '/ping/x', identity=f'e-{number}', content=_CRASHING)
    await wait_until(lambda: node.count('request-quarantined'))


def _count_crashed(node: RunningNode) -> int:
    return sum(replica.crashed for replica in node.replicas.values())


async def test_refusal_tells_that_it_did_not_run() -> None:
    """The refusal of a quarantined request doesn't promise that it didn't run.

    Its log line must name the crashes that led to it, so that an operator
    finds the cause by the request's id.
    """
    async with _run_node(make_non_model_replicas(6)) as node:
        await _crash_three(node)
        status, body, headers = await ask(
            node, '/ping/x', identity='again', content=_CRASHING
        )
        assert (status, float(headers['retry-after'])) == (503, 60)
        assert b'replicas ended under this request' in body
        refused = (
            logged for logged in node.lines if logged.get('request') == 'again'
        )
        line = next(refused)
        assert line['name'] == 'exchange-refused'
        assert line['digest'] == _DIGEST
        assert len(line['ended']) == 3
        assert _count_crashed(node) == 3
        assert node.find('request-quarantined')['begun'] == line['ended']


async def test_others_are_served_on() -> None:
    """A quarantined request of one account blocks other requests.

    Neither the same request of another account nor other requests of the
    same account may be refused. Otherwise three bad requests of one account
    would block the requests of another.
    """
    async with _run_node(make_non_model_replicas(6)) as node:
        await _crash_three(node)
        status, _, _ = await ask(node, '/ping/x')
        assert status == 200
        for replica in node.replicas.values():
            replica.crash_on = b''
        status, _, _ = await ask(
            node, '/ping/x', content=_CRASHING, Api_Key=_OTHER_KEY
        )
        assert status == 200


async def test_node_that_starts_knows_what_is_refused() -> None:
    """Nodes lose the quarantine when all of them restart.

    At each such restart the request would crash three more replicas.
    """
    async with _run_node(make_non_model_replicas(6)) as node:
        await _crash_three(node)
        await wait_until(lambda: node.store.get(_KIND, _DIGEST))
        async with run_peer(node, 'node-b') as peer:
            await wait_until(lambda: peer.count('request-quarantined'))
            status, _, _ = await ask(peer, '/ping/x', content=_CRASHING)
            assert status == 503
            assert _count_crashed(node) == 3


async def test_operator_lets_a_request_in_again() -> None:
    """A request stays quarantined after an operator deleted its object."""
    async with (
        _run_node(make_non_model_replicas(6)) as node,
        run_peer(node, 'node-b') as peer,
    ):
        await _crash_three(node)
        await wait_until(lambda: peer.count('request-quarantined'))
        for replica in node.replicas.values():
            replica.crash_on = b''
        node.store.drop(_KIND, _DIGEST)
        await wait_until(lambda: node.count('request-released'))
        await wait_until(lambda: peer.count('request-released'))
        for serving in (node, peer):
            status, _, _ = await ask(serving, '/ping/x', content=_CRASHING)
            assert status == 200


async def test_crashes_in_an_outage_are_shared_later() -> None:
    """Crashes during an outage of the store are never shared.

    The node that saw them refuses the request at once, the others when the
    store is back.
    """
    async with (
        _run_node(make_non_model_replicas(6)) as node,
        run_peer(node, 'node-b') as peer,
    ):
        node.store.mode = 'busy'
        await _crash_three(node)
        assert not peer.count('request-quarantined')
        node.store.mode = 'ok'
        await wait_until(lambda: peer.count('request-quarantined'))


async def test_lost_answer_of_the_store_is_settled() -> None:
    """A write whose response is lost is dropped or recorded twice."""
    async with _run_node(make_non_model_replicas(6)) as node:
        node.store.lose_answers = 1
        await _crash_three(node)
        await wait_until(lambda: node.store.get(_KIND, _DIGEST))
        await wait_until(
            lambda: len(node.store.get(_KIND, _DIGEST)['spec']['begun']) == 3
        )


async def test_lost_connections_are_not_crashes() -> None:
    """Lost connections to running replicas count as crashes.

    All requests over a link that loses connections would be quarantined.
    """
    replicas = make_non_model_replicas(4)
    async with _run_node(replicas) as node:
        for replica in replicas:
            replica.unframed_part = True
        for number in range(6):
            status, _, _ = await ask(node, '/ping/x', identity=f'c-{number}')
            assert status == 502
        for replica in replicas:
            replica.unframed_part = False
        status, _, _ = await ask(node, '/ping/x')
        assert status == 200
        assert not node.count('request-suspected')


async def test_stream_that_ran_is_not_suspected() -> None:
    """A long stream is suspected as it loses one replica after another.

    VMs are reclaimed one by one, in the middle of streams that began long
    before. The streams are not the cause.
    """
    replicas = make_model_replicas(*[(0, 8)] * 6)
    for replica in replicas:
        replica.events = 40
        replica.pause = 0.05
    async with _run_node(replicas) as node:
        asking = asyncio.create_task(ask(node, '/plan/x'))
        for _ in range(3):
            running = await _find_running(replicas)
            await asyncio.sleep(0.6)
            await running.crash()
        status, body, _ = await asking
        assert (status, body.count(b'id: ')) == (200, 40)
        assert not node.count('request-suspected')


async def test_stream_that_is_cut_off_first_counts() -> None:
    """The request that crashed a replica isn't suspected.

    Its connection breaks after those of other streams. By then the node has
    recorded that the replica is lost, and aborts the stream itself.
    """
    replicas = make_model_replicas((0, 8), (0, 8))
    async with _run_node(replicas) as node:
        for replica in replicas:
            replica.hang = True
        asking = asyncio.create_task(ask(node, '/plan/x'))
        running = await _find_running(replicas)
        assert running.stop_listening is not None
        await running.stop_listening()
        view = node.app.find('replicas', ReplicaView)
        view.suspect(view.replicas[running.name], 'ended', full=False)
        await wait_until(lambda: node.count('request-suspected'))
        assert node.find('request-suspected')['replica'] == running.name
        asking.cancel()


async def test_request_on_a_slow_replica_is_suspected() -> None:
    """A request that crashes slow replicas isn't suspected.

    They crash most of a second after they sent the header of the answer.
    Counted from the header, the request ran too long to be the cause.
    """
    replicas = make_model_replicas(*[(0, 8)] * 4)
    for replica in replicas:
        replica.pause = 0.8
    async with _run_node(replicas) as node:
        for number in range(2):
            identity = f'c-{number}'
            await ask(node, '/plan/x', identity=identity, content=_CRASHING)
        assert node.count('request-quarantined')
        assert _count_crashed(node) == 3


async def test_popular_request_is_not_refused() -> None:
    """A frequent request is quarantined as replicas crash for other reasons.

    Each crash interrupts one of many identical requests.
    """
    replicas = make_non_model_replicas(6)
    async with _run_node(replicas) as node:
        for loss in range(4):
            for number in range(3):
                status, _, _ = await ask(
                    node, '/book/x', identity=f'p-{loss}-{number}'
                )
                assert status == 200
            for replica in replicas:
                replica.crash_on = b'question'
            await ask(node, '/book/x', identity=f'lost-{loss}')
            for replica in replicas:
                replica.crash_on = b''
        assert _count_crashed(node) == 4
        assert not node.count('request-suspected')
        assert not node.count('request-quarantined')


async def test_one_attempt_crashes_few_replicas() -> None:
    """One client request crashes five replicas on a route with two attempts.

    Runs lost with their replica weren't counted as attempts, as a stream need
    not fail when its replica is lost.
    """
    async with _run_node(make_model_replicas(*[(0, 8)] * 8)) as node:
        await ask(node, '/plan/x', content=_CRASHING)
        assert _count_crashed(node) == 2


@pytest.mark.parametrize(
    ('name', 'spec'),
    [
        (_DIGEST, {'begun': 'r-1'}),
        (_DIGEST, {'begun': [1, 2, 3]}),
        (_DIGEST, ['r-1', 'r-2', 'r-3']),
        (_DIGEST, {'waiting': [''] * 3}),
        ('no digest', {'begun': ['r-1', 'r-2', 'r-3']}),
    ],
)
async def test_object_that_can_not_be_read_refuses_none(
    name: str, spec: Any
) -> None:
    """An unreadable object refuses requests, or stops the quarantine.

    Other programs may write to the store.
    """
    async with _run_node(make_non_model_replicas(6)) as node:
        node.store.put(_KIND, name, spec)
        await wait_until(lambda: node.count('configuration-refused'))
        status, _, _ = await ask(node, '/ping/x')
        assert status == 200
        await _crash_three(node)
        await wait_until(lambda: _holds_three(node))


def _holds_three(node: RunningNode) -> bool:
    found = node.store.get(_KIND, _DIGEST)
    if found is None or not isinstance(found['spec'], dict):
        return False
    return len(found['spec'].get('begun', ())) == 3


async def _find_running(replicas: list[ReplicaStandIn]) -> ReplicaStandIn:
    """Wait until one of the replicas has a stream, and return it."""
    await wait_until(lambda: any(replica.streams for replica in replicas))
    return next(replica for replica in replicas if replica.streams)


async def test_request_is_held_until_its_cause_is_known() -> None:
    """A harmless request is refused before another node's report arrives.

    It was lost three times with the request that crashed the replicas.
    """
    replicas = make_model_replicas(*[(0, 8)] * 3)
    async with run_node(replicas) as node:
        quarantine = node.app.find('quarantine', Quarantine)
        await wait_until(quarantine.store.is_current)
        harmless = digest_request(
            'city.example', 'POST', '/plan/x', 'ward-1', b'question'
        )
        crashed = ('m-7', 'm-8', 'm-9')
        for name in crashed:
            quarantine.record_crash(
                Fingerprint(harmless),
                name,
                RequestPhase.BEGUN,
                'lost',
                events=2,
            )
        quarantine.record_crash(
            Fingerprint(_DIGEST), 'm-9', RequestPhase.BEGUN, 'lost'
        )
        asking = asyncio.create_task(ask(node, '/plan/x'))
        await asyncio.sleep(0.2)
        assert not asking.done()
        node.store.put(_KIND, _DIGEST, {'begun': list(crashed)})
        status, _, _ = await asking
        assert status == 200
        ended = node.find('exchange-ended')
        assert ended['held']
        assert node.count('request-quarantined') == 1
        assert node.find('request-quarantined')['digest'] == _DIGEST


async def test_held_request_is_refused_as_not_run() -> None:
    """A held request that turns out to be the cause is sent on."""
    async with run_node(make_model_replicas((0, 8))) as node:
        quarantine = node.app.find('quarantine', Quarantine)
        await wait_until(quarantine.store.is_current)
        digest = digest_request(
            'city.example', 'POST', '/plan/x', 'ward-1', b'question'
        )
        quarantine.record_crash(
            Fingerprint('f' * 16), 'm-9', RequestPhase.BEGUN, 'other'
        )
        for name in ('m-7', 'm-8', 'm-9'):
            quarantine.record_crash(
                Fingerprint(digest),
                name,
                RequestPhase.BEGUN,
                'lost',
                events=2,
            )
        status, body, headers = await ask(node, '/plan/x')
        assert (status, float(headers['retry-after'])) == (503, 60)
        assert b'replicas ended under this request' in body
        assert not node.replicas['m-0'].runs
