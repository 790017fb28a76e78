"""Tests for the frames exchanged between a node and an engine."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ryelatch_core.pipeline import (
    Cancel,
    FrameError,
    Hello,
    Ping,
    Receipt,
    Step,
    decode_frames,
    encode_frames,
)


def test_frames_survive_the_wire() -> None:
    frames = [
        Hello('e', 'i', 'm', '1', 0, 4, 'gpu-a', 10.0),
        Step('s', 1, 0, 2, 0, 4, '1', 5, True, (1, 2)),
        Receipt('s', 1, 0, 2, 0, 4, '1', (), b'xy', 'h'),
        Cancel('s', 1),
        Ping(3),
    ]
    assert decode_frames(encode_frames(frames)) == frames


@given(st.binary(max_size=200))
def test_any_bytes_are_frames_or_an_error(blob: bytes) -> None:
    """An engine, or another process at its address, sends arbitrary bytes."""
    try:
        decode_frames(blob)
    except FrameError:
        return


def test_nesting_is_bounded() -> None:
    with pytest.raises(FrameError):
        decode_frames(b'\x91' * 100_000)
