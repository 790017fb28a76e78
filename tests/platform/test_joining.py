"""Nodes that are added, and then lose their links to replicas."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from fleet.cutting import (
    LinkedNode,
    discover_cut,
    run_linked_node,
    run_linked_nodes,
)
from fleet.running import (
    ask,
    make_model_replicas,
    make_non_model_replicas,
    wait_until,
)
from ryelatch_node.peer_sync import PeerSync
from ryelatch_node.ports import Address
from ryelatch_platform import _census
from soak.links import LinkMode

_COUNT_SECONDS = (0.1, 0.1, 0.1)
_JOIN_BOUND_SECONDS = 2.0
"""A write and a read of the store, a connection, and an interval of asking."""


_REFUSALS = 4


@pytest.fixture(autouse=True)
def _count_early(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the first counts of nodes be over before others are added."""
    monkeypatch.setattr(_census, 'FIRST_COUNT_SECONDS', _COUNT_SECONDS)


def _knows(linked: LinkedNode, name: str) -> bool:
    nodes = linked.node.app.find('news', PeerSync).nodes
    return name in {node.name for node in nodes}


@contextlib.asynccontextmanager
async def _run_added(
    number: int,
) -> AsyncIterator[tuple[list[LinkedNode], list[LinkedNode]]]:
    """Add nodes, at hosts of their own, to two that have run for a while."""
    replicas = [
        *make_model_replicas((0, 8), (0, 8)),
        *make_non_model_replicas(2),
    ]
    async with contextlib.AsyncExitStack() as stack:
        running = await stack.enter_async_context(run_linked_nodes(replicas, 2))
        await wait_until(lambda: _knows(running[0], 'node-1'))
        added = await asyncio.gather(
            *(
                stack.enter_async_context(
                    run_linked_node(
                        running[0].node,
                        f'added-{place}',
                        peers=Address(f'127.0.0.{place + 9}', 0),
                    )
                )
                for place in range(number)
            )
        )
        yield running, added


@pytest.mark.parametrize('number', [1, 3])
async def test_added_nodes_are_known(number: int) -> None:
    """A node refuses what one that was just added asks, for 20 s."""
    async with _run_added(number) as (running, added):
        names = [linked.node.startup.name for linked in added]
        await wait_until(
            lambda: all(
                _knows(linked, name) for linked in running for name in names
            ),
            _JOIN_BOUND_SECONDS,
        )


async def test_added_node_is_served_without_links() -> None:
    """Callers of a node that was just added get 503 as its links are lost."""
    async with _run_added(1) as (running, added):
        await wait_until(
            lambda: all(_knows(linked, 'added-0') for linked in running),
            _JOIN_BOUND_SECONDS,
        )
        added[0].cut(LinkMode.REFUSING)
        await discover_cut(added[0], 'early')
        statuses = [
            (
                await ask(
                    added[0].node, path, identity=f'late-{number}{path[1]}'
                )
            )[0]
            for number in range(4)
            for path in ('/plan/x', '/ping/x', '/book/x')
        ]
        assert statuses == [200] * 12


async def test_store_is_away_as_a_node_is_added(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A node that the store refuses as it starts is registered 20 s later."""
    register = _census.NodeRegistry._register
    refused: list[str] = []

    async def refuse_first(registry: _census.NodeRegistry) -> bool:
        name = registry._startup.name
        if name == 'added' and len(refused) < _REFUSALS:
            refused.append(name)
            return False
        return await register(registry)

    monkeypatch.setattr(_census.NodeRegistry, '_register', refuse_first)
    async with (
        _run_added(0) as (running, _),
        run_linked_node(
            running[0].node, 'added', peers=Address('127.0.0.9', 0)
        ),
    ):
        await wait_until(lambda: len(refused) == _REFUSALS)
        await wait_until(
            lambda: all(_knows(linked, 'added') for linked in running),
            _JOIN_BOUND_SECONDS,
        )
