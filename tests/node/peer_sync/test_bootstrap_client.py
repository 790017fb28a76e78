"""What a node that starts in a store outage accepts from a peer."""

import asyncio
from typing import Any

import pytest

from ryelatch_core.eras import StoreRevision
from ryelatch_core.events import LineLog
from ryelatch_core.membership import NodeEntry
from ryelatch_node.peer_sync._bootstrap_client import BootstrapClient
from ryelatch_node.peer_sync._bootstrapper import list_successors
from ryelatch_node.peer_sync._frames import (
    BootstrapMessage,
    Change,
    ListReply,
    WatchRequest,
    encode,
    pack,
)
from virtual.links import open_pair
from virtual.loop import VirtualClock

_NODES = tuple(
    NodeEntry(name, 'zone-a', f'{name}:1') for name in ('a', 'b', 'c')
)


_AGE = 2.5
"""Seconds since the peer's state was confirmed as current."""


class _Case:
    """A bootstrap client, and the lists of nodes that it accepted.

    :param body: the reply of the peer.
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
    assert not case.bootstrap_client.handle_message(
        BootstrapMessage('b', _NODES)
    ).knows
    assert case.learned == [_NODES]
    assert case.bootstrap_client.peer_available.is_set()


async def test_greeting_tells_a_sound_node_nothing() -> None:
    case = _Case(knows=True)
    assert case.bootstrap_client.handle_message(
        BootstrapMessage('b', _NODES)
    ).knows
    assert not case.learned


async def test_greeting_of_a_stranger_is_not_taken() -> None:
    """The sender is not in its own list of nodes."""
    case = _Case()
    case.bootstrap_client.handle_message(BootstrapMessage('x', _NODES))
    assert not case.learned
    assert not case.bootstrap_client.peer_available.is_set()


async def test_objects_are_dated_as_the_peer_knew_them() -> None:
    packed = pack((Change(b'{}', deleted=False),))
    reply = ListReply(known=True, at=7, age=_AGE, packed=packed, era=1)
    case = _Case(encode(reply))
    case.bootstrap_client.handle_message(BootstrapMessage('b', _NODES))
    update = await case.bootstrap_client.request_list('servers')
    assert update is not None
    assert update.at == StoreRevision(1, 7)
    assert asyncio.get_running_loop().time() - update.confirmed_at >= _AGE


@pytest.mark.parametrize(
    'reply',
    [
        ListReply(known=False),
        ListReply(known=True, at=7, age=-60),
        ListReply(known=True, at=7, age=float('nan')),
        ListReply(known=True, at=-7, age=1),
        ListReply(known=True, at=7, age=1, packed=b'no objects'),
        WatchRequest('servers', 7, 0),
    ],
)
async def test_peer_that_tells_nonsense_is_left(reply: Any) -> None:
    case = _Case(encode(reply))
    case.bootstrap_client.handle_message(BootstrapMessage('b', _NODES))
    assert await case.bootstrap_client.request_list('servers') is None
    assert not case.bootstrap_client.peer_available.is_set()
    assert case.log.counts['watcher-left'] == 1


def test_all_nodes_are_followed_by_another() -> None:
    """No node would contact a node that is nobody's successor."""
    firsts = {list_successors(node.name, _NODES)[0].name for node in _NODES}
    assert firsts == {node.name for node in _NODES}
