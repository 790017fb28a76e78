"""Replicas that limit their requests per second."""

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
    """The log doesn't show that a replica set or removed its rate limit."""
    replica = make_non_model_replicas(1)[0]
    replica.extra_headers = {'Server-Limit': '500'}
    async with run_node([replica]) as node:
        await ask(node, '/ping/x')
        line = node.find('replica-limited')
        assert (line['replica'], line['limit']) == (replica.name, 500)
        replica.extra_headers = {'Server-Limit': 'plenty'}
        await asyncio.sleep(0.1)
        await ask(node, '/ping/x')
        assert node.count('limit-unreadable') == 1
        assert not node.count('replica-unlimited')
        replica.extra_headers = {}
        await asyncio.sleep(0.1)
        await ask(node, '/ping/x')
        await wait_until(lambda: node.count('replica-unlimited') == 1)


def _count_max(replica: ReplicaStandIn, since: float) -> int:
    """Return the maximum number of requests in any span."""
    times = [run.at for run in replica.runs if run.at >= since]
    return max(
        (
            sum(begin <= at < begin + _SPAN_SECONDS for at in times)
            for begin in times
        ),
        default=0,
    )


async def _send_for(
    nodes: list[RunningNode],
    path: str,
    seconds: float,
) -> list[int]:
    """Send requests to all nodes in turn, without waiting for answers.

    :returns: the status codes of the answers.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    asked = []
    for number, node in enumerate(itertools.cycle(nodes)):
        if loop.time() > end:
            break
        request = ask(
            node, path, identity=f'c-{number}', content=b'%d' % number
        )
        asked.append(asyncio.create_task(request))
        await asyncio.sleep(_PAUSE_SECONDS)
    return [answer[0] for answer in await asyncio.gather(*asked)]


@pytest.mark.parametrize('path', ['/plan/x', '/ping/x'])
async def test_limit_holds_for_all_nodes_together(path: str) -> None:
    """An overloaded replica gets several times its rate limit.

    The limit applies to the requests of all nodes together.
    """
    streams = path.startswith('/plan')
    replicas = make_model_replicas(*[(0, 8)] * 3) if streams else make_non_model_replicas(3)
    limited = replicas[0]
    async with run_nodes(replicas, 4) as nodes:
        limited.extra_headers = {'Server-Limit': f'{_LIMIT}'}
        reported_at = asyncio.get_running_loop().time()
        seconds = _NOTICE_SECONDS + 2 * _SPAN_SECONDS
        statuses = await _send_for(nodes, path, seconds)
        assert set(statuses) == {200}
        busiest = _count_max(limited, reported_at + _NOTICE_SECONDS)
        assert 1 <= busiest <= 1.5 * _LIMIT * _SPAN_SECONDS + 5
