"""Replicas that name how many requests a second they take."""

import asyncio

from fleet.running import ask, make_plain, run_node, wait_until


async def test_lines_tell_that_a_limit_was_named() -> None:
    """Nothing at a node shows that a replica named a limit, or took it back."""
    [replica] = make_plain(1)
    replica.says = {'Server-Limit': '500'}
    async with run_node([replica]) as node:
        await ask(node, '/ping/x')
        line = node.find('replica-limited')
        assert (line['replica'], line['limit']) == (replica.name, 500)
        replica.says = {'Server-Limit': 'plenty'}
        await ask(node, '/ping/x')
        assert node.count('limit-unreadable') == 1
        assert not node.count('replica-unlimited')
        replica.says = {}
        await asyncio.sleep(0.1)
        await ask(node, '/ping/x')
        await wait_until(lambda: node.count('replica-unlimited') == 1)
