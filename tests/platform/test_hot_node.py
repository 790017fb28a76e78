"""One node that gets most new connections for a while."""

import asyncio
import itertools

from fleet.running import (
    RunningNode,
    ask,
    make_model_replicas,
    make_non_model_replicas,
    run_nodes,
)

_CALM_REQUESTS = 24
_HOT_REQUESTS = 96
_CONCURRENT = 12
_PATHS = ('/plan/x', '/plan/x', '/ping/x')


async def test_hot_node_serves_at_the_first_attempt() -> None:
    """A node that gets the clients of four takes all replicas for full.

    It knows its own requests, and assumes that each other node has as many.
    """
    replicas = [
        *make_model_replicas((0, 8), (0, 8), (0, 8)),
        *make_non_model_replicas(2),
    ]
    numbers = itertools.count()

    async def send(node: RunningNode) -> int:
        number = next(numbers)
        path = _PATHS[number % len(_PATHS)]
        status, _, _ = await ask(node, path, identity=f'h-{number}')
        return status

    async with run_nodes(replicas, 4) as nodes:
        calm = [
            await send(node)
            for node in itertools.islice(itertools.cycle(nodes), _CALM_REQUESTS)
        ]
        assert calm == [200] * _CALM_REQUESTS
        hot: list[int] = []
        for _ in range(_HOT_REQUESTS // _CONCURRENT):
            sending = (send(nodes[0]) for _ in range(_CONCURRENT))
            hot.extend(await asyncio.gather(*sending))
        assert hot.count(200) >= 0.75 * len(hot)
