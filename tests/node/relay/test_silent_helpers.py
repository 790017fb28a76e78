"""Forwarded requests whose serving nodes are silent for a while."""

import asyncio
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

import pytest

from ryelatch_core.links import Helper, LinkGroup
from ryelatch_core.membership import NodeEntry
from ryelatch_node.forwarding import ForwardClient
from ryelatch_node.links._known_helpers import Helpers
from ryelatch_node.peer_sync import (
    ForwardAlive,
    ForwardPiece,
    ForwardStart,
    PeerConnection,
    encode,
)
from ryelatch_node.relay._non_model import relay_non_model
from standins.plain_relay import SERVICE, PlainRelay
from virtual.loop import run

_DEADLINE_SECONDS = 2.5
_GROUP = LinkGroup(SERVICE, 'zone-a')


@dataclass(eq=False)
class _Node:
    """A node that serves requests of others, silent for a while.

    :param silence: seconds from its first message to its answer.
    :param dropped: connections that were closed before it answered.
    """

    name: str
    silence: float
    taken: int = 0
    dropped: int = 0

    def connect(self) -> PeerConnection:
        """Accept a connection."""
        reader = asyncio.StreamReader()
        writer: Any = SimpleNamespace(
            write=lambda _: self._serve(reader),
            transport=SimpleNamespace(abort=self._drop),
        )
        return PeerConnection(f'{self.name}:1', reader, writer)

    def _serve(self, reader: asyncio.StreamReader) -> None:
        self.taken += 1
        loop = asyncio.get_running_loop()
        reader.feed_data(encode(ForwardAlive()))
        piece = ForwardPiece(self.name.encode(), True)
        answer = encode(ForwardStart(200, ())) + encode(piece)
        loop.call_later(self.silence, reader.feed_data, answer)

    def _drop(self) -> None:
        self.dropped += 1


@dataclass(eq=False)
class _Links:
    """Lost links, and the nodes that have others."""

    nodes: list[_Node]
    helpers: Helpers
    lost: frozenset[LinkGroup] = field(default=frozenset((_GROUP,)))

    async def has_lost(self, _: str) -> bool:
        return True

    async def choose_helper(self, service: str, tried: Any) -> Helper | None:
        for node in self.nodes:
            entry = NodeEntry(node.name, 'zone-a', f'{node.name}:1')
            self.helpers.record(entry, frozenset((_GROUP,)), 10)
        return self.helpers.choose(service, tried)


def _make_relay(nodes: list[_Node], retries: float) -> PlainRelay:
    relay = PlainRelay([], retries)
    links: Any = _Links(nodes, Helpers(relay.clock, 'zone-a'))

    async def connect(address: str) -> PeerConnection:
        connected = {f'{node.name}:1': node for node in nodes}
        return connected[address].connect()

    peer_sync: Any = SimpleNamespace(connect_as_node=connect)
    relay.context.links = links
    relay.context.startup.name = 'node-a'
    relay.context.forwarding = ForwardClient(relay.clock, links, peer_sync)
    return relay


async def _relay(relay: PlainRelay) -> None:
    request = relay.make_request(_DEADLINE_SECONDS)
    async with asyncio.timeout(_DEADLINE_SECONDS):
        await relay_non_model(relay.context, relay.exchange, request)


@pytest.mark.parametrize('silence', [0.3, 1, 1.3, 2])
def test_only_helper_is_waited_for(silence: float) -> None:
    """A request is given up at a silent node though no other one serves it."""

    async def play() -> None:
        node = _Node('node-b', silence)
        relay = _make_relay([node], 10)
        await _relay(relay)
        assert (relay.status, relay.body) == (200, b'node-b')
        assert (node.taken, node.dropped) == (1, 0)

    run(play())


@pytest.mark.parametrize('silence', [1, 2])
def test_helper_is_waited_for_without_a_retry(silence: float) -> None:
    """A request is given up at a silent node though none may follow."""

    async def play() -> None:
        nodes = [_Node('node-b', silence), _Node('node-c', 0)]
        relay = _make_relay(nodes, 0)
        await _relay(relay)
        assert (relay.status, relay.body) == (200, b'node-b')
        assert nodes[1].taken == 0

    run(play())


def test_silent_helper_is_left_for_another() -> None:
    """A request waits for a silent node though another one would serve it."""

    async def play() -> None:
        nodes = [_Node('node-b', 10), _Node('node-c', 0.1)]
        relay = _make_relay(nodes, 10)
        await _relay(relay)
        assert (relay.status, relay.body) == (200, b'node-c')
        assert (nodes[0].dropped, relay.budget.left) == (1, 9)

    run(play())
