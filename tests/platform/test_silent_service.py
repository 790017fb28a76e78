"""Services whose replicas all stand still for a while, and go on."""

import asyncio
from itertools import count

from fleet.running import (
    RunningNode,
    ask,
    make_event_stream,
    make_model_replicas,
    run_node,
    wait_until,
)
from standins.replica import ReplicaStandIn

_EVENTS = 400


async def _fill(
    node: RunningNode, replicas: list[ReplicaStandIn]
) -> 'list[asyncio.Task[object]]':
    """Send streams until each replica has one."""
    asking: list[asyncio.Task[object]] = []
    for number in count():
        if all(replica.runs for replica in replicas):
            return asking
        identity = f'early-{number}'
        request = ask(node, '/plan/x', identity=identity)
        asking.append(asyncio.create_task(request))
        await asyncio.sleep(0.05)
    return asking


async def test_service_that_stood_still_serves_at_once() -> None:
    """New requests are refused for seconds after all replicas stood still.

    The node suspects each of them, as they sent no report in the silence.
    """
    replicas = make_model_replicas((0, 8), (0, 8))
    for replica in replicas:
        replica.events = _EVENTS
    async with run_node(replicas) as node:
        asking = await _fill(node, replicas)
        for replica in replicas:
            replica.stand_still()
        await wait_until(lambda: node.count('replica-suspected') == 2)
        for replica in replicas:
            replica.events = 5
            replica.go_on()
        status, body, _ = await ask(node, '/plan/x', identity='late')
        assert (status, body) == (200, make_event_stream(5))
        for task in asking:
            task.cancel()
        await asyncio.gather(*asking, return_exceptions=True)
