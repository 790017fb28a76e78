"""Replicas that turn requests away and ask for rest."""

import asyncio

import pytest

from fleet.running import RunningNode, ask, make_model_replicas, make_non_model_replicas, run_node

_REST_SECONDS = 3.0
_ROUNDING = 0.01
_NOTICE_SECONDS = 0.5
_PAUSE_SECONDS = 0.05


async def test_requested_backoff_is_logged() -> None:
    """Nothing at a node shows for how long a replica turned it away."""
    replicas = make_non_model_replicas(2)
    for replica in replicas:
        replica.refuse = 503
        replica.says = {'Retry-After': f'{_REST_SECONDS}'}
    async with run_node(replicas) as node:
        await ask(node, '/ping/x')
        assert node.find('replica-backoff')['seconds'] == _REST_SECONDS
        assert not node.count('backoff-unreadable')


async def test_unreadable_backoff_is_logged() -> None:
    replica = make_non_model_replicas(1)[0]
    replica.refuse = 503
    replica.says = {'Retry-After': 'soon'}
    async with run_node([replica]) as node:
        await ask(node, '/ping/x')
        assert node.count('backoff-unreadable') == 1
        assert not node.count('replica-backoff')


async def _send_for(node: RunningNode, path: str, seconds: float) -> list[int]:
    """Send requests one after the other, without waiting for answers."""
    loop = asyncio.get_running_loop()
    ends = loop.time() + seconds
    asked = []
    while loop.time() < ends:
        number = len(asked)
        one = ask(node, path, identity=f'c-{number}', content=b'%d' % number)
        asked.append(asyncio.create_task(one))
        await asyncio.sleep(_PAUSE_SECONDS)
    return [answer[0] for answer in await asyncio.gather(*asked)]


@pytest.mark.parametrize('path', ['/plan/x', '/ping/x'])
async def test_replica_in_backoff_gets_few_requests(path: str) -> None:
    """A replica that asked for seconds of rest gets a request each 0.3 s."""
    streams = path.startswith('/plan')
    replicas = make_model_replicas(*[(0, 8)] * 3) if streams else make_non_model_replicas(3)
    resting = replicas[0]
    resting.refuse = 503
    resting.says = {'Retry-After': f'{_REST_SECONDS}'}
    async with run_node(replicas) as node:
        statuses = await _send_for(node, path, 2 * _REST_SECONDS)
        assert set(statuses) == {200}
        assert resting.refusals
        for asked in resting.refusals:
            within = [
                at
                for at in resting.refusals
                if asked + _NOTICE_SECONDS < at < asked + _REST_SECONDS
            ]
            assert len(within) <= 2


@pytest.mark.parametrize('path', ['/plan/x', '/ping/x', '/book/x'])
async def test_clients_retry_after_the_first_backoff(path: str) -> None:
    """A client is told to come back while all replicas still rest."""
    streams = path.startswith('/plan')
    replicas = make_model_replicas(*[(0, 8)] * 2) if streams else make_non_model_replicas(2)
    for number, replica in enumerate(replicas):
        replica.refuse = 503
        replica.says = {'Retry-After': f'{_REST_SECONDS + number}'}
    async with run_node(replicas) as node:
        loop = asyncio.get_running_loop()
        first = loop.time()
        for number in range(2):
            await ask(node, path, identity=f'c-{number}')
        began = loop.time()
        status, _, headers = await ask(node, path, identity='c-2')
        ended = loop.time()
        assert ended - began < _NOTICE_SECONDS
        assert status == 503
        left = _REST_SECONDS - (ended - first)
        assert float(headers['retry-after']) > left - _ROUNDING
        assert all(len(one.refusals) <= 2 for one in replicas)


async def test_no_report_is_requested_during_backoff() -> None:
    """A replica that wants nothing is asked how it is instead."""
    replicas = make_model_replicas((0, 8), (0, 8))
    replicas[0].refuse = 503
    replicas[0].says = {'Retry-After': f'{_REST_SECONDS}'}
    async with run_node(replicas) as node:
        for number in range(6):
            await ask(node, '/plan/x', identity=f'c-{number}')
        assert replicas[0].refusals
        assert not replicas[0].reports
        assert not node.count('task-crashed')


async def test_replica_is_used_after_its_backoff() -> None:
    """A replica that had its rest gets no requests any more."""
    replicas = make_non_model_replicas(2)
    replicas[0].refuse = 503
    replicas[0].says = {'Retry-After': '0.4'}
    async with run_node(replicas) as node:
        await _send_for(node, '/ping/x', 1)
        replicas[0].refuse = 0
        await asyncio.sleep(_NOTICE_SECONDS)
        await _send_for(node, '/ping/x', 1)
        assert replicas[0].runs
