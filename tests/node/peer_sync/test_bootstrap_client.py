"""What a node that starts in an outage takes from a peer, and what not."""

import asyncio
from typing import Any

import pytest

from ryelatch_core.events import LineLog
from ryelatch_core.membership import NodeEntry
from ryelatch_node.peer_sync._frames import (
    Change,
    Greeting,
    Question,
    WholeReply,
    encode,
    pack,
)
from ryelatch_node.peer_sync._bootstrapper import list_following
from ryelatch_node.peer_sync._bootstrap_client import BootstrapClient
from virtual.links import open_pair
from virtual.loop import VirtualClock

_NODES = tuple(
    NodeEntry(name, 'zone-a', f'{name}:1') for name in ('a', 'b', 'c')
)


_AGE = 2.5
"""Seconds since the peer heard of the store."""


class _Case:
    """An introduction, and what it has told its node.

    :param body: what the peer answers.
    """

    def __init__(self, body: bytes = b'', *, knows: bool = False) -> None:
        self.learned: list[tuple[NodeEntry, ...]] = []
        self.log = LineLog('a', VirtualClock(), len)
        self._body = body
        self.bootstrap_client = BootstrapClient(
            self.log,
            VirtualClock(),
            self._dial,
            lambda: knows,
            self.learned.append,
        )

    async def _dial(self, host: str, port: int) -> Any:
        near, far = open_pair(lambda: True)
        far[1].write(self._body)
        return near


async def test_greeting_is_taken_by_one_that_needs_it() -> None:
    case = _Case()
    assert not case.bootstrap_client.take(Greeting('b', _NODES)).knows
    assert case.learned == [_NODES]
    assert case.bootstrap_client.peer_available.is_set()


async def test_greeting_tells_a_sound_node_nothing() -> None:
    case = _Case(knows=True)
    assert case.bootstrap_client.take(Greeting('b', _NODES)).knows
    assert not case.learned


async def test_greeting_of_a_stranger_is_not_taken() -> None:
    """Something greets that is none of the nodes it names."""
    case = _Case()
    case.bootstrap_client.take(Greeting('x', _NODES))
    assert not case.learned
    assert not case.bootstrap_client.peer_available.is_set()


async def test_objects_are_dated_as_the_peer_knew_them() -> None:
    packed = pack((Change(b'{}', deleted=False),))
    reply = WholeReply(known=True, at=7, age=_AGE, packed=packed)
    case = _Case(encode(reply))
    case.bootstrap_client.take(Greeting('b', _NODES))
    heard = await case.bootstrap_client.request_list('servers')
    assert heard is not None
    assert heard.at == 7
    assert asyncio.get_running_loop().time() - heard.confirmed_at >= _AGE


@pytest.mark.parametrize(
    'reply',
    [
        WholeReply(known=False),
        WholeReply(known=True, at=7, age=-60),
        WholeReply(known=True, at=7, age=float('nan')),
        WholeReply(known=True, at=-7, age=1),
        WholeReply(known=True, at=7, age=1, packed=b'no objects'),
        Question('servers', 7, 0),
    ],
)
async def test_peer_that_tells_nonsense_is_left(reply: Any) -> None:
    case = _Case(encode(reply))
    case.bootstrap_client.take(Greeting('b', _NODES))
    assert await case.bootstrap_client.request_list('servers') is None
    assert not case.bootstrap_client.peer_available.is_set()
    assert case.log.counts['watcher-left'] == 1


def test_all_nodes_are_followed_by_another() -> None:
    """Nobody would greet a node that comes after none."""
    firsts = {list_following(one.name, _NODES)[0].name for one in _NODES}
    assert firsts == {one.name for one in _NODES}
