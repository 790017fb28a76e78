"""Replicas that announce in their answers that they are leaving."""

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


async def _ask_repeatedly(node: RunningNode, path: str, times: int) -> None:
    for number in range(times):
        answer = await ask(node, path, identity=f'c-{number}')
        assert answer[0] == 200


async def _announce_leaving(
    node: RunningNode, path: str, leaving: ReplicaStandIn
) -> None:
    """Send requests until a replica has announced that it is leaving."""
    leaving.extra_headers = _LEAVING
    before = len(leaving.runs)
    while len(leaving.runs) == before:
        await _ask_repeatedly(node, path, 1)
    await wait_until(lambda: node.count('replica-leaving'))
    leaving.runs.clear()


def _make_replicas(path: str) -> list[ReplicaStandIn]:
    if path.startswith('/plan'):
        return make_model_replicas(*[(0, 8)] * 2)
    return make_non_model_replicas(2)


@pytest.mark.parametrize('path', ['/plan/x', '/ping/x'])
async def test_announced_departure_stops_requests(path: str) -> None:
    """A leaving replica gets requests until its entry says that it leaves."""
    replicas = _make_replicas(path)
    async with run_node(replicas) as node:
        await _announce_leaving(node, path, replicas[0])
        await _ask_repeatedly(node, path, 10)
        assert not replicas[0].runs


@pytest.mark.parametrize('path', ['/plan/x', '/ping/x'])
async def test_entry_does_not_cancel_a_departure(path: str) -> None:
    """A leaving replica is used again when its entry is written or deleted."""
    replicas = _make_replicas(path)
    async with run_node(replicas) as node:
        await _announce_leaving(node, path, replicas[0])
        replicas[0].layers = (0, 8) if path == '/plan/x' else None
        replicas[0].register()
        await asyncio.sleep(0.2)
        await _ask_repeatedly(node, path, 5)
        node.store.drop('servers', replicas[0].name)
        await wait_until(lambda: node.count('replica-gone'))
        replicas[0].register()
        await asyncio.sleep(0.2)
        await _ask_repeatedly(node, path, 5)
        assert not replicas[0].runs


async def test_departure_holds_in_a_store_outage() -> None:
    """A node that is cut off from the store sends to a leaving replica."""
    replicas = make_non_model_replicas(2)
    async with run_node(replicas) as node:
        node.store.mode = 'silent'
        await _announce_leaving(node, '/ping/x', replicas[0])
        await _ask_repeatedly(node, '/ping/x', 10)
        assert not replicas[0].runs


async def test_restarted_replica_is_used_again() -> None:
    """A restarted replica gets no requests as its last incarnation left."""
    replicas = make_non_model_replicas(2)
    replicas[0].born = 1000
    async with run_node(replicas) as node:
        await _announce_leaving(node, '/ping/x', replicas[0])
        replicas[0].extra_headers = {}
        replicas[0].restart()
        replicas[0].register()
        await wait_until(lambda: node.count('replica-listed') >= 3)
        await _ask_repeatedly(node, '/ping/x', 20)
        assert replicas[0].runs


async def test_invalid_leaving_header_is_ignored() -> None:
    """An invalid header in an answer takes a working replica out of use."""
    replicas = make_non_model_replicas(1)
    replicas[0].extra_headers = {'Server-Leaving': 'perhaps'}
    async with run_node(replicas) as node:
        await _ask_repeatedly(node, '/ping/x', 3)
        assert len(replicas[0].runs) == 3
