"""Encoding of changes, and frames that are malformed or too large."""

import zlib

import msgspec
import pytest

from ryelatch_node.peer_sync._frames import MAX_FRAME_BYTES, Change, pack, unpack


def test_changes_are_read_as_they_were_told() -> None:
    changes = tuple(
        Change(b'{"number":%d}' % number, number % 2 == 0)
        for number in range(50)
    )
    assert unpack(pack(changes)) == changes
    assert not unpack(pack(()))


def test_run_of_registrations_is_small() -> None:
    """All replicas of a fleet register, and each change goes to fifty nodes."""
    entries = tuple(
        Change(
            b'{"metadata":{"name":"i-%08x","revision":%d},"spec":{"service":'
            b'"model","addr":"10.1.64.%d:8000","zone":"zone-a","state":"ready"'
            b',"slots":96,"seq":%d,"layers":{"from":0,"to":8,"version":1}}}'
            % (number * 7919, number, number, number),
            False,
        )
        for number in range(100)
    )
    total = sum(len(entry.content) for entry in entries)
    assert len(pack(entries)) < total / 4


@pytest.mark.parametrize(
    'malformed',
    [
        b'x',
        zlib.compress(b'x'),
        pack((Change(b'{}', False),))[:-3],
        zlib.compress(msgspec.msgpack.encode([['text', 1]])),
    ],
)
def test_nonsense_is_an_error(malformed: bytes) -> None:
    with pytest.raises((ValueError, msgspec.MsgspecError)):
        unpack(malformed)


def test_small_frame_can_not_fill_the_memory() -> None:
    """Compressed zeros expand to a thousand times their size.

    A faulty peer, or any other client, could exhaust the memory of a node of
    200 MB with one frame.
    """
    bomb = zlib.compress(bytes(MAX_FRAME_BYTES * 8))
    assert len(bomb) < MAX_FRAME_BYTES / 50
    with pytest.raises(ValueError, match='too long'):
        unpack(bomb)
