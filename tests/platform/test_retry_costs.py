"""What attempts cost that reached no replica, and what late nodes may spend."""

import asyncio
import time

from fleet.running import ask, make_model_replicas, run_node
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._service import Housekeeper

_BUSY_SECONDS = 0.45
_TURNS = 6


def _get_context(housekeeper: Housekeeper) -> RelayContext:
    return housekeeper._context


async def test_refused_connections_cost_no_retries() -> None:
    """A stream is broken off, as refused connections have spent the retries.

    Nothing arrived at a replica, so nothing was repeated.
    """
    replicas = make_model_replicas(*[(0, 8)] * 3)
    async with run_node(replicas) as node:
        context = _get_context(node.app.find('housekeeper', Housekeeper))
        budget = context.budgets.get('model')
        for replica in replicas:
            assert replica.stop_listening is not None
            await replica.stop_listening()
        before = budget.left
        status, _, _ = await ask(node, '/plan/x')
        assert status == 503
        assert not any(replica.runs for replica in replicas)
        assert budget.left >= before


async def test_late_node_earns_all_retries() -> None:
    """A node that runs late earns fewer retries than its part of them."""
    async with run_node(make_model_replicas((0, 8))) as node:
        context = _get_context(node.app.find('housekeeper', Housekeeper))
        context.budgets.resize(0, 1000, 10)
        budget = context.budgets.get('model')
        started = time.monotonic()
        before = budget.left
        for _ in range(_TURNS):
            # The event loop is busy with something else.
            time.sleep(_BUSY_SECONDS)
            await asyncio.sleep(_BUSY_SECONDS / 2)
        spent = time.monotonic() - started
        assert budget.left - before >= 10 * (spent - 1)
