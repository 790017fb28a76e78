"""Malformed replies of peers, and unknown clients at the port for peers.

A node applies the state that a peer sends, and dates it by the age in the
reply. A negative age would date the state into the future, and revoked keys
would be accepted until then.
"""

import asyncio
from typing import Any

import msgspec
import pytest

from fleet.running import make_startup
from ryelatch_core.eras import StoreRevision
from ryelatch_core.events import LineLog
from ryelatch_core.kernel import BootClock
from ryelatch_core.membership import NodeEntry
from ryelatch_node.peer_sync import PeerSync, connect_to_peer
from ryelatch_node.peer_sync._frames import (
    WatchReply,
    WatchRequest,
    encode,
    read_body,
)

_NAMES = [f'node-{number:02}' for number in range(21)]


class _Writer:
    """Collects all that is written."""

    def __init__(self, written: list[bytes]) -> None:
        self.transport = self
        self.write = written.append

    def abort(self) -> None:
        """Do nothing, as there is no connection."""

    async def drain(self) -> None:
        """Do nothing, as writes are never buffered."""


def _make_news(reply: bytes) -> PeerSync:
    """Make a node whose peers all send the same reply."""

    async def dial(*_: Any) -> Any:
        reader = asyncio.StreamReader()
        reader.feed_data(reply)
        return reader, _Writer([])

    clock = BootClock()
    startup = make_startup(1)._replace(name=_NAMES[-1])
    peer_sync = PeerSync(LineLog('node', clock, len), clock, startup, dial)
    peer_sync.update_nodes(
        NodeEntry(name, 'zone-a', f'{name}:1', 100 if name == _NAMES[0] else 10)
        for name in _NAMES
    )
    return peer_sync


async def _ask(peer_sync: PeerSync) -> Any:
    return await peer_sync.request_changes(
        'servers', StoreRevision(1, 5), 0.1, max_age=2, partitioned=False
    )


async def test_sound_reply_is_heard() -> None:
    update = await _ask(_make_news(encode(WatchReply(True, 7, 0, 0.5, era=1))))
    assert update.at == StoreRevision(1, 7)


@pytest.mark.parametrize(
    'reply',
    [
        WatchReply(True, 7, 0, -60, era=1),
        WatchReply(True, 7, -60, 0.5, era=1),
        WatchReply(True, 7, 0, float('nan'), era=1),
        WatchReply(True, 7, 0, 0.5, b'', -60, era=1),
        WatchReply(True, -7, 0, 0.5, era=1),
        WatchReply(True, 7, 0, 0.5, b'no changes', era=1),
        WatchRequest('servers', 7, 0),
    ],
)
async def test_malformed_reply_is_logged_peer_abandoned(
    reply: Any,
) -> None:
    peer_sync = _make_news(encode(reply))
    assert await _ask(peer_sync) is None
    assert peer_sync.log.counts['watcher-left'] == 1


async def test_stranger_leaves_no_memory_behind() -> None:
    """A client watches a thousand kinds of object that the node lacks.

    A cache for each of them would let any client exhaust the memory.
    """
    peer_sync = _make_news(b'')
    reader = asyncio.StreamReader()
    for number in range(1000):
        reader.feed_data(encode(WatchRequest(f'kind-{number}', 0, 0)))
    reader.feed_eof()
    written: list[bytes] = []
    await peer_sync.server.serve(reader, _Writer(written))  # type: ignore[arg-type]
    replies = asyncio.StreamReader()
    replies.feed_data(b''.join(written))
    first = msgspec.msgpack.decode(await read_body(replies), type=WatchReply)
    assert len(written) == 1000
    assert not first.covered
    assert not peer_sync._caches


_DEEP = b'\x00'.rjust(5000, b'\x91')


async def test_nested_reply_is_logged_peer_abandoned() -> None:
    """A reply with nested extra fields ends the watch with another error."""
    reply = b'\x98\xc3\x07\x00\x00\xc4\x00\xc0\xc2%s' % _DEEP
    framed = len(reply).to_bytes(4) + reply
    peer_sync = _make_news(framed)
    assert await _ask(peer_sync) is None
    assert peer_sync.log.counts['watcher-left'] == 1


async def test_nested_request_ends_only_its_connection() -> None:
    """The connection of a peer ends with an error that nobody handles."""
    request = b'\x96\xa5watch\xa1x\x00\x00\xc2%s' % _DEEP
    reader = asyncio.StreamReader()
    reader.feed_data(len(request).to_bytes(4) + request)
    reader.feed_eof()
    written: list[bytes] = []
    server = _make_news(b'').server
    await server.serve(reader, _Writer(written))  # type: ignore[arg-type]
    assert not written


@pytest.mark.parametrize(
    'address',
    [
        '',
        '127.0.0.1',
        '127.0.0.1:',
        '127.0.0.1:x',
        '127.0.0.1:70000',
        f'{"a" * 64}.b:1',
    ],
)
async def test_unusable_address_is_an_unreachable_peer(address: str) -> None:
    """A node with an unusable address ends the tasks that contact nodes."""
    with pytest.raises(OSError, match='no address'):
        await connect_to_peer(asyncio.open_connection, address)
