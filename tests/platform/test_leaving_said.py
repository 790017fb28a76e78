"""Replicas that say in their answers that they leave."""

import asyncio

import pytest

from fleet.running import (
    RunningNode,
    ask,
    make_model_replicas,
    make_non_model_replicas,
    run_node,
    wait_until,
)
from standins.replica import ReplicaStandIn

_LEAVING = {'Server-Leaving': '1'}


async def _ask_often(node: RunningNode, path: str, times: int) -> None:
    for number in range(times):
        answer = await ask(node, path, identity=f'c-{number}')
        assert answer[0] == 200


async def _hear(node: RunningNode, path: str, leaver: ReplicaStandIn) -> None:
    """Ask until a replica has said that it leaves."""
    leaver.says = _LEAVING
    before = len(leaver.runs)
    while len(leaver.runs) == before:
        await _ask_often(node, path, 1)
    await wait_until(lambda: node.count('replica-leaving'))
    leaver.runs.clear()


def _make(path: str) -> list[ReplicaStandIn]:
    if path.startswith('/plan'):
        return make_model_replicas(*[(0, 8)] * 2)
    return make_non_model_replicas(2)


@pytest.mark.parametrize('path', ['/plan/x', '/ping/x'])
async def test_announced_departure_stops_requests(path: str) -> None:
    """A replica that leaves gets requests until its entry tells."""
    replicas = _make(path)
    async with run_node(replicas) as node:
        await _hear(node, path, replicas[0])
        await _ask_often(node, path, 10)
        assert not replicas[0].runs


@pytest.mark.parametrize('path', ['/plan/x', '/ping/x'])
async def test_entry_does_not_cancel_a_departure(path: str) -> None:
    """An entry that is written, gone or back brings a leaver into use."""
    replicas = _make(path)
    async with run_node(replicas) as node:
        await _hear(node, path, replicas[0])
        replicas[0].layers = (0, 8) if path == '/plan/x' else None
        replicas[0].register()
        await asyncio.sleep(0.2)
        await _ask_often(node, path, 5)
        node.store.drop('servers', replicas[0].name)
        await wait_until(lambda: node.count('replica-gone'))
        replicas[0].register()
        await asyncio.sleep(0.2)
        await _ask_often(node, path, 5)
        assert not replicas[0].runs


async def test_departure_holds_in_a_store_outage() -> None:
    """A node that hears nothing of the store sends to a leaver."""
    replicas = make_non_model_replicas(2)
    async with run_node(replicas) as node:
        node.store.mode = 'silent'
        await _hear(node, '/ping/x', replicas[0])
        await _ask_often(node, '/ping/x', 10)
        assert not replicas[0].runs


async def test_restarted_replica_is_used_again() -> None:
    """A replica that started again gets nothing, as the one before left."""
    replicas = make_non_model_replicas(2)
    replicas[0].born = 1000
    async with run_node(replicas) as node:
        await _hear(node, '/ping/x', replicas[0])
        replicas[0].says = {}
        replicas[0].start_again()
        replicas[0].register()
        await wait_until(lambda: node.count('replica-listed') >= 3)
        await _ask_often(node, '/ping/x', 20)
        assert replicas[0].runs


async def test_invalid_leaving_header_is_ignored() -> None:
    """Nonsense in an answer takes a sound replica out of use."""
    replicas = make_non_model_replicas(1)
    replicas[0].says = {'Server-Leaving': 'perhaps'}
    async with run_node(replicas) as node:
        await _ask_often(node, '/ping/x', 3)
        assert len(replicas[0].runs) == 3
