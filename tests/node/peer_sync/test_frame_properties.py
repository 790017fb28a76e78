"""Any bytes and any msgpack, for what nodes read from each other.

``DECODING_EXAMPLES`` sets the number of inputs of each property.
"""

import asyncio
import contextlib
import os
import zlib
from typing import Any

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from fake_clock import FakeClock
from ryelatch_core.events import UsageTracker
from ryelatch_node.peer_sync._connection import REQUEST_ERRORS
from ryelatch_node.peer_sync._frames import (
    BootstrapReply,
    Change,
    JoinReply,
    ListReply,
    PermitReply,
    SeenVersionReply,
    WatchReply,
    unpack,
)
from ryelatch_node.peer_sync._link_frames import ReachReply
from ryelatch_node.peer_sync._server import PeerServer
from ryelatch_node.peer_sync._watch_cache import WatchCache

_EXAMPLES = int(os.environ.get('DECODING_EXAMPLES', '60'))
_play = settings(
    max_examples=_EXAMPLES,
    deadline=None,
    derandomize='DECODING_EXAMPLES' not in os.environ,
    suppress_health_check=list(HealthCheck),
)

_TAGS = (
    *('watch', 'permit', 'greeting', 'join', 'whole', 'seen', 'session'),
    *('reach', 'forward'),
)
_REPLIES = (
    *(BootstrapReply, JoinReply, ListReply, PermitReply, ReachReply),
    *(SeenVersionReply, WatchReply),
)
_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=40)
    | st.binary(max_size=40)
    | st.sampled_from(['config', 'servers']),
    lambda inner: (
        st.lists(inner, max_size=6)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
_FIELDS = st.lists(_VALUES, max_size=8)
_REQUESTS = st.tuples(st.sampled_from(_TAGS), _FIELDS).map(
    lambda frame: msgspec.msgpack.encode([frame[0], *frame[1]])
)
_STARTS = (b'', b'\x92\xc3', b'\x93\xa4join\xa1x', b'\x93\xa5whole\xa1x')
"""Beginnings of frames after which a field follows that is not known."""

_DEEP = st.builds(
    lambda start, depth: start + b'\x91' * depth,
    st.sampled_from(_STARTS),
    st.integers(1, 100_000),
)
_BODIES = (
    _REQUESTS
    | _VALUES.map(msgspec.msgpack.encode)
    | _FIELDS.map(msgspec.msgpack.encode)
    | st.binary(max_size=200)
    | _DEEP
)


class _Writer:
    """Takes what a server writes, from a host that is no node."""

    def __init__(self) -> None:
        self.transport = self

    def write(self, frame: bytes) -> None:
        """Drop a frame."""

    async def drain(self) -> None:
        """Wait for nothing."""

    def abort(self) -> None:
        """Close nothing."""

    def get_extra_info(self, _: str) -> tuple[str, int]:
        """Return the address of the peer."""
        return '10.0.0.9', 4000


async def _serve(body: bytes) -> None:
    caches = {'config': WatchCache()}
    server = PeerServer(FakeClock(), UsageTracker(), caches)
    reader = asyncio.StreamReader()
    reader.feed_data(len(body).to_bytes(4) + body)
    reader.feed_eof()
    writer: Any = _Writer()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(0.01):
            await server.serve(reader, writer)


@_play
@given(_BODIES)
def test_any_request_ends_with_its_connection(body: bytes) -> None:
    """What a peer sends ends more than its own connection."""
    asyncio.run(_serve(body))


@pytest.mark.parametrize('kind', _REPLIES, ids=lambda kind: kind.__name__)
@_play
@given(_BODIES)
def test_any_reply_is_decoded_or_refused(kind: Any, body: bytes) -> None:
    """What a peer replies raises an error that callers don't handle."""
    with contextlib.suppress(*REQUEST_ERRORS):
        assert isinstance(msgspec.msgpack.decode(body, type=kind), kind)


@_play
@given(_BODIES, st.booleans())
def test_any_changes_are_unpacked_or_refused(
    body: bytes, compressed: bool
) -> None:
    """Changes of a peer raise an error that callers don't handle."""
    packed = zlib.compress(body) if compressed else body
    with contextlib.suppress(*REQUEST_ERRORS):
        assert all(isinstance(change, Change) for change in unpack(packed))
