"""Entries of other writers, in every kind that nodes follow."""

import itertools
from typing import Any

import pytest

from fleet.running import (
    RunningNode,
    ask,
    make_event_stream,
    make_model_replicas,
    make_non_model_replicas,
    run_node,
    run_peer,
    settle_nodes,
    wait_until,
)

_KINDS = ('servers', 'ryelatch-nodes', 'ryelatch-leases', 'ryelatch-quarantine')


def _nest(depth: int) -> Any:
    nested: Any = 1
    for _ in range(depth):
        nested = [nested]
    return nested


_ENTRY = {
    'service': 'booking',
    'addr': '127.0.0.1:9',
    'zone': 'zone-a',
    'slots': 4,
    'state': 'ready',
    'seq': 1,
    'version': 'v1',
    'coldRemainingMs': 0,
}

_ODD = {
    'deep lists': {**_ENTRY, 'inner': _nest(400)},
    'deep lists only': _nest(400),
    'a field that is deep': {**_ENTRY, 'born': _nest(300)},
    'too large for 64 bits': {**_ENTRY, 'seq': 2**64, 'born': 2**63},
    'too large for a float': {**_ENTRY, 'slots': 10**400},
    'a number of 4,000 digits': {**_ENTRY, 'coldRemainingMs': 10**4000},
    'a negative number': {**_ENTRY, 'slots': -(2**70)},
    'port out of range': {**_ENTRY, 'addr': '127.0.0.1:70000'},
    'port of 30 digits': {**_ENTRY, 'addr': f'127.0.0.1:{10**30}'},
    'negative port': {**_ENTRY, 'addr': '127.0.0.1:-1'},
    'no port': {**_ENTRY, 'addr': '127.0.0.1'},
    'odd fields of the own kinds': {
        'holder': _nest(300),
        'address': '127.0.0.1:70000',
        'begun': [2**70, None],
        'waiting': 10**400,
        'beat': 10**400,
    },
}


async def _serves(node: RunningNode, identity: str) -> bool:
    """Whether a node serves requests of both services."""
    for number in range(3):
        status, body, _ = await ask(
            node, '/plan/x', identity=f'{identity}-m-{number}'
        )
        if (status, body) != (200, make_event_stream(5)):
            return False
        status, _, _ = await ask(
            node, '/ping/x', identity=f'{identity}-b-{number}'
        )
        if status != 200:
            return False
    return True


def _list_failures(nodes: list[RunningNode]) -> list[dict[str, Any]]:
    lines = itertools.chain.from_iterable(node.lines for node in nodes)
    names = {'task-crashed', 'exchange-crashed'}
    return [line for line in lines if line['name'] in names]


@pytest.mark.parametrize('odd', _ODD.values(), ids=_ODD)
async def test_nodes_serve_beside_odd_entries(odd: Any) -> None:
    """A node ends, or follows the lists no further, at an entry it can't read.

    The entries are there as it starts, or come by a watch together with sound
    ones; nodes send them to each other.
    """
    replicas = [*make_model_replicas((0, 8)), *make_non_model_replicas(1)]
    async with run_node(replicas) as first:
        for kind in _KINDS:
            first.store.put(kind, 'x-1', odd)
        async with run_peer(first, 'peer-1') as second:
            nodes = [first, second]
            await settle_nodes(nodes)
            for kind in _KINDS:
                first.store.put(kind, 'x-2', odd)
            added = await first.add(make_non_model_replicas(2)[1])
            await wait_until(
                lambda: all(
                    any(
                        line['name'] == 'replica-listed'
                        and line['replica'] == added.name
                        for line in node.lines
                    )
                    for node in nodes
                )
            )
            assert all(
                [await _serves(node, node.startup.name) for node in nodes]
            )
            assert not _list_failures(nodes)
