"""Tests that the client gets complete events, each once and in order."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ryelatch_core.streams import EventCutter, StreamError


def _write(first: int, end: int) -> bytes:
    return b''.join(
        f'id: {number}\ndata: word {number}\n\n'.encode()
        for number in range(first, end)
    )


@given(st.lists(st.integers(1, 40), max_size=30))
def test_any_pieces_give_the_same_bytes(sizes: list[int]) -> None:
    """The network splits a stream anywhere, also in the middle of an event."""
    stream = _write(1, 12)
    splitter = EventCutter()
    passed = []
    start = 0
    sizes.append(len(stream))
    for size in sizes:
        passed.append(splitter.cut(stream[start : start + size]))
        start += size
    assert b''.join(passed) == stream
    assert not splitter.torn


@given(st.integers(0, 300), st.integers(0, 3))
def test_resumed_stream_is_the_whole_one(at: int, repeated: int) -> None:
    """A replica is lost in the middle of an event, and another continues.

    It starts after the last event delivered, or repeats some events. The
    client gets each event once, and no part of the interrupted one.
    """
    stream = _write(1, 20)
    splitter = EventCutter()
    passed = splitter.cut(stream[: min(at, len(stream))])
    splitter.restart()
    again = max(1, (splitter.last or 0) + 1 - repeated)
    passed += splitter.cut(_write(again, 20))
    assert passed == stream


def test_missing_event_is_an_error() -> None:
    """The second replica skips an event; the client must not miss it."""
    splitter = EventCutter()
    splitter.cut(_write(1, 4))
    with pytest.raises(StreamError, match='5 came after 3'):
        splitter.cut(_write(5, 6))


def test_client_that_resumes_gets_what_follows() -> None:
    splitter = EventCutter(last=3)
    assert splitter.cut(_write(1, 6)) == _write(4, 6)
