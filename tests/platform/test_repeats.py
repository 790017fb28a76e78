"""Repeats of requests beyond what each service allows."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterable

from fleet.cutting import LinkedNode, discover_cut, run_linked_nodes
from fleet.running import (
    RunningNode,
    ask,
    make_model_replicas,
    make_non_model_replicas,
    open_request,
    run_node,
    wait_until,
)
from ryelatch_node.peer_sync import PeerSync
from ryelatch_node.relay._watch import HEDGE_SECONDS
from soak.links import LinkMode
from standins.replica import ReplicaStandIn

_ROUNDS = 30
_STREAMS_IN_ROUND = 10
_RATIO = 0.2
_EXTRA = 20
_WINDOW = 10


def _list_arrivals(
    replicas: Iterable[ReplicaStandIn], identity: str
) -> list[str]:
    """List the replicas that got a request, once for each of its copies."""
    return [
        replica.name
        for replica in replicas
        for arrival in replica.arrivals
        if arrival == identity
    ]


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


@contextlib.asynccontextmanager
async def _run_cut(
    replicas: list[ReplicaStandIn],
) -> AsyncIterator[list[LinkedNode]]:
    """Run nodes of which the first one has lost its links, and knows it.

    No retry is earned or refilled.
    """
    async with run_linked_nodes(
        replicas, 3, retry_ratio=0.0, retry_extra=0.0
    ) as nodes:
        nodes[0].cut(LinkMode.REFUSING)
        await discover_cut(nodes[0], 'first')
        yield nodes


async def test_refused_copies_at_helpers_are_repeats() -> None:
    """A request reaches a replica through each helper without any retry.

    Each copy is refused and didn't run, but the replica got it.
    """
    replicas = make_non_model_replicas(2)
    async with _run_cut(replicas) as nodes:
        for replica in replicas:
            replica.refuse = 503
        for number in range(4):
            # The first ones use up the retries that each process begins with.
            await ask(nodes[0].node, '/ping/x', identity=f'full-{number}')
        status, _, _ = await ask(nodes[0].node, '/ping/x', identity='full')
        assert status == 503
        assert len(_list_arrivals(replicas, 'full')) == 1


async def test_runs_of_a_lost_helper_all_count() -> None:
    """A stream runs three times, as its helper is lost in its second run."""
    replicas = [
        *make_model_replicas((0, 8), (0, 8), (0, 8)),
        *make_non_model_replicas(2),
    ]
    for replica in replicas:
        replica.stalls = 9
    async with run_linked_nodes(replicas, 3) as nodes:
        nodes[0].cut(LinkMode.REFUSING)
        await discover_cut(nodes[0], 'first')
        for replica in replicas:
            replica.stall_after = 1
        async with open_request(
            nodes[0].node, '/plan/x', identity='twice'
        ) as response:
            await response.content.readuntil(b'token 1\n\n')
            await wait_until(
                lambda: len(_list_arrivals(replicas, 'twice')) == 2
            )
            await asyncio.sleep(0.5)
            helper = next(
                linked.node
                for linked in nodes
                if linked.node.count('forward-taken')
                and linked.node.count('stream-hedged')
            )
            for replica in replicas:
                replica.refuse = 503 if replica.runs else 0
            await helper.app.find('news', PeerSync).server.stop()
            await asyncio.sleep(HEDGE_SECONDS)
            names = [replica.name for replica in replicas[:3] if replica.runs]
            assert len(names) == 2
            response.close()
