"""Clients that leave while their requests wait for something.

The end of a connection has arrived, and a busy process has not read it.
"""

import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import pytest
from aiohttp import ClientError

from fleet.cutting import discover_cut, run_linked_nodes
from fleet.running import (
    RunningNode,
    ask,
    make_model_replicas,
    make_non_model_replicas,
    run_node,
    wait_until,
)
from ryelatch_node.clients import _departure
from ryelatch_node.forwarding import ForwardClient
from ryelatch_node.links import Links
from ryelatch_node.relay import (
    _forward_server,
    _model,
    _non_model,
    _upstream,
)
from soak.links import LinkMode
from standins.replica import ReplicaStandIn

_PLAIN = '/ping/x'
_STREAM = '/plan/x'
_IDENTITY = 'left'

Check = Callable[[Any], bool]


def _make_replicas(**changes: Any) -> list[ReplicaStandIn]:
    replicas = [
        *make_model_replicas((0, 8), (0, 8)),
        *make_non_model_replicas(2),
    ]
    for replica in replicas:
        for name, content in changes.items():
            setattr(replica, name, content)
    return replicas


def _count_runs(replicas: list[ReplicaStandIn]) -> int:
    return sum(
        run.identity == _IDENTITY
        for replica in replicas
        for run in replica.runs
    )


@dataclass(eq=False)
class _Departure:
    """Whether the end of the client's connection has arrived."""

    left: bool = False

    def has_left(self, _connection: Any) -> bool:
        """Tell what the socket of the client would."""
        return self.left

    def follow(
        self, wait: Callable[..., Awaitable[Any]]
    ) -> Callable[..., Awaitable[Any]]:
        """Let it arrive while a function waits."""

        async def leave(*arguments: Any, **options: Any) -> Any:
            outcome = await wait(*arguments, **options)
            self.left = True
            return outcome

        return leave


async def _ask(node: RunningNode, path: str) -> None:
    """Send a request, and wait until its node finds that its client left."""
    with contextlib.suppress(ClientError):
        await ask(node, path, identity=_IDENTITY)
    await wait_until(lambda: node.count('exchange-left'))


@pytest.mark.parametrize(
    ('owner', 'name', 'path'),
    [
        (_model, 'choose_reserved_path', _STREAM),
        (_model, 'acquire_permit', _STREAM),
        (_model, 'wait_for_verdict', _STREAM),
        (_model, 'is_allowed', _STREAM),
        (_non_model, 'acquire_permit', _PLAIN),
        (_non_model, 'wait_for_verdict', _PLAIN),
        (_non_model, 'is_allowed', _PLAIN),
        (_upstream._ObservedConnector, '_create_connection', _STREAM),
        (_upstream._ObservedConnector, '_create_connection', _PLAIN),
        (_upstream._ObservedConnector, '_create_connection', '/book/x'),
    ],
)
async def test_wait_ends_in_no_send(
    owner: Any, name: str, path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A request is sent whose client left while it waited."""
    replicas = _make_replicas()
    departure = _Departure()
    async with run_node(replicas) as node:
        monkeypatch.setattr(_departure, 'has_ended', departure.has_left)
        waiting = departure.follow(getattr(owner, name))
        monkeypatch.setattr(owner, name, waiting)
        await _ask(node, path)
        assert departure.left
        assert _count_runs(replicas) == 0
        assert node.count('send-withheld') == 1


@pytest.mark.parametrize(
    ('path', 'trouble'),
    [
        (_PLAIN, {'fail': 500}),
        (_STREAM, {'fail': 500}),
        (_PLAIN, {'refuse': 503}),
        (_STREAM, {'refuse': 503}),
        (_PLAIN, {'hang': True}),
        (_STREAM, {'hang': True}),
    ],
)
async def test_no_retry_follows_a_client_that_left(
    path: str, trouble: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A request is retried or hedged whose client left during its first run."""
    replicas = _make_replicas(**trouble)

    def has_arrived(_connection: Any) -> bool:
        return any(replica.runs or replica.refusals for replica in replicas)

    async with run_node(replicas) as node:
        monkeypatch.setattr(_departure, 'has_ended', has_arrived)
        await _ask(node, path)
        refusals = sum(len(replica.refusals) for replica in replicas)
        assert _count_runs(replicas) + refusals == 1
        assert node.count('send-withheld') == 1


@pytest.mark.parametrize(
    ('owner', 'name'), [(Links, 'choose_helper'), (ForwardClient, '_connect')]
)
@pytest.mark.parametrize('path', [_PLAIN, _STREAM])
async def test_request_of_a_leaver_is_not_forwarded(
    owner: Any, name: str, path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A request is forwarded whose client left while a node was chosen."""
    departure = _Departure()
    async with run_linked_nodes(_make_replicas(), 2) as nodes:
        nodes[0].cut(LinkMode.REFUSING)
        await discover_cut(nodes[0], 'first')
        monkeypatch.setattr(_departure, 'has_ended', departure.has_left)
        waiting = departure.follow(getattr(owner, name))
        monkeypatch.setattr(owner, name, waiting)
        await _ask(nodes[0].node, path)
        assert departure.left
        taken = [
            line
            for line in nodes[1].node.lines
            if line['name'] == 'forward-taken' and line['request'] == _IDENTITY
        ]
        assert not taken


@pytest.mark.parametrize('path', [_PLAIN, _STREAM])
async def test_late_helper_sends_nothing_for_leavers(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A node sends a request on that the node of its client has given up."""
    replicas = _make_replicas()
    async with run_linked_nodes(replicas, 2) as nodes:
        nodes[0].cut(LinkMode.REFUSING)
        await discover_cut(nodes[0], 'first')
        monkeypatch.setattr(_forward_server, 'has_ended', lambda _: True)
        await ask(nodes[0].node, path, identity=_IDENTITY)
        assert _count_runs(replicas) == 0
        assert nodes[1].node.count('send-withheld') >= 1
