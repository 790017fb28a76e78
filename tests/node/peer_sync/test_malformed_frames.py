"""Peers that are out of their mind, and strangers at the peers' port.

A node believes what a peer tells of the store, and dates it by the ages that
the peer tells. An age below nothing would make its knowledge one of the future:
keys that were taken away were accepted for as long as that lasts.
"""

import asyncio
from typing import Any

import msgspec
import pytest

from fleet.running import make_startup
from ryelatch_core.events import LineLog
from ryelatch_core.kernel import BootClock
from ryelatch_core.membership import NodeEntry
from ryelatch_node.peer_sync import PeerSync
from ryelatch_node.peer_sync._frames import Question, Reply, encode, read_body

_NAMES = [f'node-{number:02}' for number in range(21)]


class _Writer:
    """Takes all that is written."""

    def __init__(self, written: list[bytes]) -> None:
        self.transport = self
        self.write = written.append

    def abort(self) -> None:
        """Leave the connection."""

    async def drain(self) -> None:
        """Nothing waits."""


def _make_news(reply: bytes) -> PeerSync:
    """Make a node whose peers all tell the same."""

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
    return await peer_sync.request_changes('servers', 5, 0.1, max_age=2, cut_off=False)


async def test_sound_reply_is_heard() -> None:
    heard = await _ask(_make_news(encode(Reply(True, 7, 0, 0.5))))
    assert heard.at == 7


@pytest.mark.parametrize(
    'reply',
    [
        Reply(True, 7, 0, -60),
        Reply(True, 7, -60, 0.5),
        Reply(True, 7, 0, float('nan')),
        Reply(True, 7, 0, 0.5, b'', -60),
        Reply(True, -7, 0, 0.5),
        Reply(True, 7, 0, 0.5, b'no changes'),
        Question('servers', 7, 0),
    ],
)
async def test_malformed_reply_is_logged_peer_abandoned(reply: Any) -> None:
    peer_sync = _make_news(encode(reply))
    assert await _ask(peer_sync) is None
    assert peer_sync.log.counts['watcher-left'] == 1


async def test_stranger_leaves_no_memory_behind() -> None:
    """Something asks for a thousand kinds of object that nobody follows."""
    peer_sync = _make_news(b'')
    reader = asyncio.StreamReader()
    for number in range(1000):
        reader.feed_data(encode(Question(f'kind-{number}', 0, 0)))
    reader.feed_eof()
    written: list[bytes] = []
    await peer_sync.server.serve(reader, _Writer(written))  # type: ignore[arg-type]
    answers = asyncio.StreamReader()
    answers.feed_data(b''.join(written))
    first = msgspec.msgpack.decode(await read_body(answers), type=Reply)
    assert len(written) == 1000
    assert not first.covered
    assert not peer_sync._memories
