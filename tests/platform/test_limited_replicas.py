"""Replicas that name how many requests a second they take."""

import asyncio
import itertools

import pytest

from fleet.running import (
    RunningNode,
    ask,
    make_model_replicas,
    make_non_model_replicas,
    run_node,
    run_nodes,
    wait_until,
)
from standins.replica import ReplicaStandIn

_LIMIT = 1.0
_PAUSE_SECONDS = 0.05
_SPAN_SECONDS = 4.0
_NOTICE_SECONDS = 3.0


async def test_reported_limit_is_logged() -> None:
    """Nothing at a node shows that a replica named a limit, or took it back."""
    replica = make_non_model_replicas(1)[0]
    replica.says = {'Server-Limit': '500'}
    async with run_node([replica]) as node:
        await ask(node, '/ping/x')
        line = node.find('replica-limited')
        assert (line['replica'], line['limit']) == (replica.name, 500)
        replica.says = {'Server-Limit': 'plenty'}
        await asyncio.sleep(0.1)
        await ask(node, '/ping/x')
        assert node.count('limit-unreadable') == 1
        assert not node.count('replica-unlimited')
        replica.says = {}
        await asyncio.sleep(0.1)
        await ask(node, '/ping/x')
        await wait_until(lambda: node.count('replica-unlimited') == 1)


def _count_most(replica: ReplicaStandIn, since: float) -> int:
    """Count the most requests that came within one span."""
    times = [run.at for run in replica.runs if run.at >= since]
    return max(
        (
            sum(begun <= at < begun + _SPAN_SECONDS for at in times)
            for begun in times
        ),
        default=0,
    )


async def _send_for(
    nodes: list[RunningNode],
    path: str,
    seconds: float,
) -> list[int]:
    """Send requests to all nodes in turn, without waiting for answers."""
    loop = asyncio.get_running_loop()
    ends = loop.time() + seconds
    asked = []
    for number, node in enumerate(itertools.cycle(nodes)):
        if loop.time() > ends:
            break
        one = ask(node, path, identity=f'c-{number}', content=b'%d' % number)
        asked.append(asyncio.create_task(one))
        await asyncio.sleep(_PAUSE_SECONDS)
    return [answer[0] for answer in await asyncio.gather(*asked)]


@pytest.mark.parametrize('path', ['/plan/x', '/ping/x'])
async def test_limit_holds_for_all_nodes_together(path: str) -> None:
    """A replica in need gets several times what it says that it takes."""
    streams = path.startswith('/plan')
    replicas = make_model_replicas(*[(0, 8)] * 3) if streams else make_non_model_replicas(3)
    limited = replicas[0]
    async with run_nodes(replicas, 4) as nodes:
        limited.says = {'Server-Limit': f'{_LIMIT}'}
        named = asyncio.get_running_loop().time()
        seconds = _NOTICE_SECONDS + 2 * _SPAN_SECONDS
        statuses = await _send_for(nodes, path, seconds)
        assert set(statuses) == {200}
        most = _count_most(limited, named + _NOTICE_SECONDS)
        assert 1 <= most <= 1.5 * _LIMIT * _SPAN_SECONDS + 5
