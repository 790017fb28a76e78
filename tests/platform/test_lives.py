"""Replicas that start again, over real sockets."""

import asyncio

from fleet.running import (
    RunningNode,
    ask,
    make_event_stream,
    make_model_replicas,
    run_node,
    wait_until,
)


def _list_orders(node: RunningNode, name: str) -> list[tuple[int, int]]:
    return [
        (order['from'], order['to'])
        for order in node.replicas[name].orders
        if order['op'] == 'place'
    ]


async def test_restarted_replica_is_ordered_at_once() -> None:
    """A replica starts again under its entry, which still says what it held.

    Its refusal is the first sign. It is asked for a report, which tells that
    it holds nothing, and is ordered to hold its layers again.
    """
    replicas = make_model_replicas((0, 8))
    replicas[0].born = 1000
    async with run_node(replicas) as node:
        node.replicas['m-0'].start_again()
        status, _, _ = await ask(node, '/plan/x')
        assert status == 503
        await wait_until(lambda: _list_orders(node, 'm-0'), 5)
        order = node.replicas['m-0'].orders[0]
        assert order['expect'] == 0
        await wait_until(lambda: node.count('replica-listed') >= 3)
        _, body, _ = await ask(node, '/plan/x', identity='r-2')
        assert body == make_event_stream(5)


async def test_answer_of_another_replica_marks_a_crash() -> None:
    """Another replica answers at the address of one that is still listed.

    Requests went there again and again until the entry lapsed.
    """
    async with run_node(make_model_replicas((0, 8), (0, 8))) as node:
        node.replicas['m-0'].name = 'm-9'
        for number in range(4):
            _, body, _ = await ask(node, '/plan/x', identity=f'r-{number}')
            assert body == make_event_stream(5)
            await asyncio.sleep(0.4)
        sent = [
            line['path'][0][0]
            for line in node.lines
            if line['name'] == 'exchange-sent'
        ]
        assert sent.count('m-0') <= 1
