"""Peers that tell nonsense, or too much."""

import zlib

import msgspec
import pytest

from ryelatch_node.peer_sync._frames import MOST_BYTES, Change, pack, unpack


def test_changes_are_read_as_they_were_told() -> None:
    changes = tuple(
        Change(b'{"number":%d}' % number, number % 2 == 0)
        for number in range(50)
    )
    assert unpack(pack(changes)) == changes
    assert not unpack(pack(()))


def test_run_of_registrations_is_small() -> None:
    """A whole fleet registers, and each change goes to fifty nodes."""
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
    whole = sum(len(one.content) for one in entries)
    assert len(pack(entries)) < whole / 4


@pytest.mark.parametrize(
    'junk',
    [
        b'x',
        zlib.compress(b'x'),
        pack((Change(b'{}', False),))[:-3],
        zlib.compress(msgspec.msgpack.encode([['text', 1]])),
    ],
)
def test_nonsense_is_an_error(junk: bytes) -> None:
    with pytest.raises((ValueError, msgspec.MsgspecError)):
        unpack(junk)


def test_small_frame_can_not_fill_the_memory() -> None:
    """Compressed zeros are a thousand times larger once they are read.

    A peer out of its mind, or none at all, could end a node of 200 MB by it.
    """
    bomb = zlib.compress(bytes(MOST_BYTES * 8))
    assert len(bomb) < MOST_BYTES / 50
    with pytest.raises(ValueError, match='too long'):
        unpack(bomb)
