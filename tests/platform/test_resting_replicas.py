"""Replicas that turn requests away and ask for rest."""

from fleet.running import ask, make_plain, run_node

_REST_SECONDS = 3.0


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
