"""Replicas that refuse requests and request a backoff."""

import asyncio

import pytest

from fleet.running import RunningNode, ask, make_model_replicas, make_non_model_replicas, run_node

_BACKOFF_SECONDS = 3.0
_ROUNDING = 0.01
_NOTICE_SECONDS = 0.5
_PAUSE_SECONDS = 0.05


async def test_requested_backoff_is_logged() -> None:
    """The log doesn't show for how long a replica requested a backoff."""
    replicas = make_non_model_replicas(2)
    for replica in replicas:
        replica.refuse = 503
        replica.extra_headers = {'Retry-After': f'{_BACKOFF_SECONDS}'}
    async with run_node(replicas) as node:
        await ask(node, '/ping/x')
        assert node.find('replica-backoff')['seconds'] == _BACKOFF_SECONDS
        assert not node.count('backoff-unreadable')


async def test_unreadable_backoff_is_logged() -> None:
    """A backoff header that can't be parsed leaves no trace in the log."""
    replica = make_non_model_replicas(1)[0]
    replica.refuse = 503
    replica.extra_headers = {'Retry-After': 'soon'}
    async with run_node([replica]) as node:
        await ask(node, '/ping/x')
        assert node.count('backoff-unreadable') == 1
        assert not node.count('replica-backoff')


async def _send_for(node: RunningNode, path: str, seconds: float) -> list[int]:
    """Send requests at a steady rate, without waiting for answers.

    :returns: the status codes of the answers.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    asked = []
    while loop.time() < end:
        number = len(asked)
        request = ask(
            node, path, identity=f'c-{number}', content=b'%d' % number
        )
        asked.append(asyncio.create_task(request))
        await asyncio.sleep(_PAUSE_SECONDS)
    return [answer[0] for answer in await asyncio.gather(*asked)]


@pytest.mark.parametrize('path', ['/plan/x', '/ping/x'])
async def test_replica_in_backoff_gets_few_requests(path: str) -> None:
    """A replica that requested a backoff of 3 s gets requests each 0.3 s."""
    streams = path.startswith('/plan')
    replicas = make_model_replicas(*[(0, 8)] * 3) if streams else make_non_model_replicas(3)
    limited = replicas[0]
    limited.refuse = 503
    limited.extra_headers = {'Retry-After': f'{_BACKOFF_SECONDS}'}
    async with run_node(replicas) as node:
        statuses = await _send_for(node, path, 2 * _BACKOFF_SECONDS)
        assert set(statuses) == {200}
        assert limited.refusals
        for asked in limited.refusals:
            within = [
                at
                for at in limited.refusals
                if asked + _NOTICE_SECONDS < at < asked + _BACKOFF_SECONDS
            ]
            assert len(within) <= 2


@pytest.mark.parametrize('path', ['/plan/x', '/ping/x', '/book/x'])
async def test_clients_retry_after_the_first_backoff(path: str) -> None:
    """A client is told to retry while all replicas are still in backoff.

    Its ``Retry-After`` must reach to the end of the first backoff.
    """
    streams = path.startswith('/plan')
    replicas = make_model_replicas(*[(0, 8)] * 2) if streams else make_non_model_replicas(2)
    for number, replica in enumerate(replicas):
        replica.refuse = 503
        replica.extra_headers = {'Retry-After': f'{_BACKOFF_SECONDS + number}'}
    async with run_node(replicas) as node:
        loop = asyncio.get_running_loop()
        first = loop.time()
        for number in range(2):
            await ask(node, path, identity=f'c-{number}')
        started = loop.time()
        status, _, headers = await ask(node, path, identity='c-2')
        ended = loop.time()
        assert ended - started < _NOTICE_SECONDS
        assert status == 503
        left = _BACKOFF_SECONDS - (ended - first)
        assert float(headers['retry-after']) > left - _ROUNDING
        assert all(len(stand_in.refusals) <= 2 for stand_in in replicas)


async def test_no_report_is_requested_during_backoff() -> None:
    """A replica in backoff gets requests for its report instead."""
    replicas = make_model_replicas((0, 8), (0, 8))
    replicas[0].refuse = 503
    replicas[0].extra_headers = {'Retry-After': f'{_BACKOFF_SECONDS}'}
    async with run_node(replicas) as node:
        for number in range(6):
            await ask(node, '/plan/x', identity=f'c-{number}')
        assert replicas[0].refusals
        assert not replicas[0].reports
        assert not node.count('task-crashed')


async def test_replica_is_used_after_its_backoff() -> None:
    """A replica gets no more requests after its backoff is over."""
    replicas = make_non_model_replicas(2)
    replicas[0].refuse = 503
    replicas[0].extra_headers = {'Retry-After': '0.4'}
    async with run_node(replicas) as node:
        await _send_for(node, '/ping/x', 1)
        replicas[0].refuse = 0
        await asyncio.sleep(_NOTICE_SECONDS)
        await _send_for(node, '/ping/x', 1)
        assert replicas[0].runs
