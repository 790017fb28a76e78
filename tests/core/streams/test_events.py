"""Tests that the client gets complete events, each once and in order."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ryelatch_core.streams import MAX_EVENT_BYTES, EventSplitter, StreamError


def _write(first: int, end: int) -> bytes:
    return b''.join(
        f'id: {number}\ndata: word {number}\n\n'.encode()
        for number in range(first, end)
    )


@given(st.lists(st.integers(1, 40), max_size=30))
def test_any_pieces_give_the_same_bytes(sizes: list[int]) -> None:
    """The network splits a stream anywhere, also in the middle of an event."""
    stream = _write(1, 12)
    splitter = EventSplitter()
    passed = []
    start = 0
    sizes.append(len(stream))
    for size in sizes:
        passed.append(splitter.feed(stream[start : start + size]))
        start += size
    assert b''.join(passed) == stream
    assert not splitter.has_partial


@given(st.integers(0, 300), st.integers(0, 3))
def test_resumed_stream_is_the_whole_one(at: int, repeated: int) -> None:
    """A replica is lost in the middle of an event, and another continues.

    It starts after the last event delivered, or repeats some events. The
    client gets each event once, and no part of the interrupted one.
    """
    stream = _write(1, 20)
    splitter = EventSplitter()
    passed = splitter.feed(stream[: min(at, len(stream))])
    splitter.discard_partial()
    again = max(1, (splitter.last or 0) + 1 - repeated)
    passed += splitter.feed(_write(again, 20))
    assert passed == stream


def test_missing_event_is_an_error() -> None:
    """The second replica skips an event; the client must not miss it."""
    splitter = EventSplitter()
    splitter.feed(_write(1, 4))
    with pytest.raises(StreamError, match='5 came after 3'):
        splitter.feed(_write(5, 6))


def test_client_that_resumes_gets_what_follows() -> None:
    splitter = EventSplitter(last=3)
    assert splitter.feed(_write(1, 6)) == _write(4, 6)


@pytest.mark.parametrize('digits', [19, 5000])
def test_overlong_number_is_an_error_of_stream(digits: int) -> None:
    """The number of an event ends the request with an unhandled error."""
    splitter = EventSplitter()
    splitter.feed(_write(1, 4))
    with pytest.raises(StreamError):
        splitter.feed(b'id: %s\n\n' % (b'9' * digits))
    assert splitter.last == 3


def test_endless_event_is_an_error_of_the_stream() -> None:
    """An event that never ends fills the memory of the node."""
    splitter = EventSplitter()
    for _ in range(16):
        splitter.feed(b'x' * (MAX_EVENT_BYTES // 16))
    with pytest.raises(StreamError):
        splitter.feed(b'x')
    splitter.discard_partial()
    assert splitter.feed(_write(1, 4)) == _write(1, 4)


def test_long_event_passes_in_small_pieces() -> None:
    """A boundary that is split between two pieces is missed."""
    event = b'id: 1\ndata: %s\r\n\r\n' % (b'x' * 100_000)
    splitter = EventSplitter()
    passed = [splitter.feed(event[:-50])]
    passed += [
        splitter.feed(event[place : place + 1]) for place in range(-50, -1)
    ]
    passed.append(splitter.feed(event[-1:]))
    assert b''.join(passed) == event


@pytest.mark.parametrize(
    'wrong', [_write(7, 8), b'id: %s\n\n' % (b'9' * 19)], ids=['gap', 'number']
)
def test_events_before_a_wrong_one_are_not_lost(wrong: bytes) -> None:
    """A client misses the events that arrived together with a wrong one.

    They are not passed on, but the next replica continues after them.
    """
    splitter = EventSplitter()
    passed = splitter.feed(_write(1, 4))
    with pytest.raises(StreamError):
        splitter.feed(_write(4, 6) + wrong)
    splitter.discard_partial()
    assert splitter.last == 3
    passed += splitter.feed(_write(splitter.last + 1, 9))
    assert passed == _write(1, 9)
