"""Replicas that turn requests away and ask for rest."""

import asyncio

import pytest

from fleet.running import RunningNode, ask, make_model, make_plain, run_node

_REST_SECONDS = 3.0
_NOTICE_SECONDS = 0.5
_PAUSE_SECONDS = 0.05


async def test_lines_tell_that_a_rest_was_asked_for() -> None:
    """Nothing at a node shows for how long a replica turned it away."""
    replicas = make_plain(2)
    for replica in replicas:
        replica.refuse = 503
        replica.says = {'Retry-After': f'{_REST_SECONDS}'}
    async with run_node(replicas) as node:
        await ask(node, '/ping/x')
        assert node.find('replica-rests')['seconds'] == _REST_SECONDS
        assert not node.count('rest-unreadable')


async def test_lines_tell_that_a_rest_is_unreadable() -> None:
    replica = make_plain(1)[0]
    replica.refuse = 503
    replica.says = {'Retry-After': 'soon'}
    async with run_node([replica]) as node:
        await ask(node, '/ping/x')
        assert node.count('rest-unreadable') == 1
        assert not node.count('replica-rests')


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
async def test_resting_replica_is_left_alone(path: str) -> None:
    """A replica that asked for seconds of rest gets a request each 0.3 s."""
    streams = path.startswith('/plan')
    replicas = make_model(*[(0, 8)] * 3) if streams else make_plain(3)
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
