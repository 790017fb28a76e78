"""Whom a node that was just registered asks, and who gets to know it."""

import asyncio
from types import SimpleNamespace
from typing import Any

import msgspec

from ryelatch_core.membership import NodeEntry
from ryelatch_node.peer_sync._frames import JoinReply, JoinRequest
from ryelatch_node.peer_sync._joining import (
    JOIN_INTERVAL_SECONDS,
    JOIN_SECONDS,
    Joining,
)
from virtual.loop import VirtualClock, run

_OLD = NodeEntry('old', 'zone-a', '10.0.0.1:1')
_NEW = NodeEntry('new', 'zone-a', '10.0.0.2:1')
_OUTAGE_SECONDS = 3.0


class _Old:
    """A node that runs, and the store that it reads entries from.

    :param entries: the entries in the store; none while it is away.
    :param nodes: what the node knows.
    """

    def __init__(self) -> None:
        self.entries: dict[str, NodeEntry] = {}
        self.nodes: tuple[NodeEntry, ...] = (_OLD,)
        self.reads = 0
        self.joining = Joining(
            'old',
            VirtualClock(),
            self._connect,
            lambda: self.nodes,
            self._add,
            self._confirm,
        )

    def make_new(self) -> Joining:
        """Make the joining of a node that knows this one."""

        async def send_request(request: msgspec.Struct) -> bytes:
            assert isinstance(request, JoinRequest)
            reply = await self.joining.handle_request(request, '10.0.0.2')
            return msgspec.msgpack.encode(reply)

        async def connect(_: str) -> Any:
            return SimpleNamespace(send_request=send_request, drop=lambda: None)

        return Joining(
            'new', VirtualClock(), connect, lambda: (_OLD, _NEW), print
        )

    async def _connect(self, _: str) -> Any:
        raise ConnectionRefusedError

    def _add(self, entry: NodeEntry) -> None:
        self.nodes = (*self.nodes, entry)

    async def _confirm(self, name: str) -> NodeEntry | None:
        self.reads += 1
        return self.entries.get(name)


def test_node_is_known_after_an_outage() -> None:
    """A node is unknown as the store was away when it asked."""

    async def play() -> None:
        old = _Old()
        joining = asyncio.create_task(old.make_new().run())
        await asyncio.sleep(_OUTAGE_SECONDS)
        assert old.nodes == (_OLD,)
        old.entries['new'] = _NEW
        await asyncio.sleep(JOIN_INTERVAL_SECONDS)
        assert old.nodes == (_OLD, _NEW)
        await joining

    run(play())


def test_stranger_stays_unknown() -> None:
    """A host that isn't a node's gets known under the name of a node."""

    async def play() -> None:
        old = _Old()
        old.entries['new'] = _NEW
        for name in ('new', 'stranger'):
            reply = await old.joining.handle_request(
                JoinRequest(name), '10.0.0.9'
            )
            assert reply == JoinReply(known=False)
        assert old.nodes == (_OLD,)

    run(play())


def test_node_that_comes_back_is_known() -> None:
    """An entry is read from the store each time its node starts again."""

    async def play() -> None:
        old = _Old()
        old.nodes = (_OLD, _NEW)
        await asyncio.wait_for(old.make_new().run(), 2 * JOIN_SECONDS)
        assert not old.reads

    run(play())


def test_stale_list_forgets_no_node() -> None:
    """A list that is seconds old makes a node forget one that has joined."""

    async def play() -> None:
        old = _Old()
        old.entries['new'] = _NEW
        await old.joining.handle_request(JoinRequest('new'), '10.0.0.2')
        assert set(old.joining.complete([_OLD])) == {_OLD, _NEW}
        await asyncio.sleep(JOIN_SECONDS + 1)
        assert old.joining.complete([_OLD]) == (_OLD,)

    run(play())
