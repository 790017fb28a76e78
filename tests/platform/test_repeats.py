"""Repeats of requests beyond what each service allows."""

import asyncio
from collections.abc import Iterable

from fleet.running import (
    RunningNode,
    ask,
    make_model_replicas,
    make_non_model_replicas,
    run_node,
)

_ROUNDS = 30
_STREAMS_IN_ROUND = 10
_RATIO = 0.2
_EXTRA = 20
_WINDOW = 10


async def _ask_all(node: RunningNode, path: str, names: Iterable[str]) -> None:
    async with asyncio.TaskGroup() as group:
        for name in names:
            group.create_task(ask(node, path, identity=name))


async def test_services_share_no_retries() -> None:
    """The requests of a large service pay for retries at a small one.

    All replicas of the small one are full, and refuse one copy after the other.
    """
    loop = asyncio.get_running_loop()
    plain = make_non_model_replicas(4)
    replicas = [*make_model_replicas((0, 8), (0, 8)), *plain]
    async with run_node(
        replicas, retry_ratio=_RATIO, retry_extra=_EXTRA, retry_window=_WINDOW
    ) as node:
        for replica in plain:
            replica.refuse = 503
        started = loop.time()
        for number in range(_ROUNDS):
            names = [f's-{number}-{each}' for each in range(_STREAMS_IN_ROUND)]
            await _ask_all(node, '/plan/x', names)
            await ask(node, '/ping/x', identity=f'p-{number}')
        windows = (loop.time() - started) / _WINDOW + 1
    arrivals = sum(len(replica.arrivals) for replica in plain)
    allowed = _RATIO * _ROUNDS + _EXTRA * windows
    assert arrivals - _ROUNDS <= allowed
