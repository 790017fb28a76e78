"""How long the node that serves a forwarded request may be silent."""

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from ryelatch_node.forwarding import ForwardedAnswer, HelperLost
from ryelatch_node.peer_sync import (
    ForwardAlive,
    ForwardStart,
    PeerConnection,
    encode,
)
from virtual.loop import VirtualClock, VirtualLoop, run

_SILENCE_BOUND = 1.0
_CONFIRM_BOUND = 0.4


def _open(*, patient: bool = False) -> tuple[ForwardedAnswer, Any]:
    """Open an answer; returns it, and the reader that its messages go to."""
    reader = asyncio.StreamReader()
    writer: Any = SimpleNamespace()
    connection = PeerConnection('node-b:1', reader, writer)
    return ForwardedAnswer(connection, VirtualClock(), patient), reader


async def _measure_loss(answer: ForwardedAnswer) -> float:
    loop = asyncio.get_running_loop()
    started = loop.time()
    with pytest.raises(HelperLost):
        await answer.read_head()
    return loop.time() - started


def test_silent_node_is_given_up() -> None:
    """A request waits for a node that is lost until its deadline."""

    async def play() -> None:
        answer, reader = _open()
        assert await _measure_loss(answer) <= _CONFIRM_BOUND
        answer, reader = _open()
        reader.feed_data(encode(ForwardAlive()))
        assert await _measure_loss(answer) <= _SILENCE_BOUND

    run(play())


def test_own_pause_is_no_silence() -> None:
    """A node that was paused itself takes the other one for lost."""

    async def play() -> None:
        answer, reader = _open()
        reader.feed_data(encode(ForwardAlive()))
        reading = asyncio.create_task(answer.read_head())
        await asyncio.sleep(0.1)
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        loop.call_later(2, reader.feed_data, encode(ForwardStart(200, ())))
        loop.freeze(2)
        assert await reading == ForwardStart(200, ())

    run(play())


def test_unsafe_request_waits_for_its_answer() -> None:
    """A booking that may have run is given up as its helper is slow."""

    async def play() -> None:
        answer, reader = _open(patient=True)
        loop = asyncio.get_running_loop()
        loop.call_later(3, reader.feed_data, encode(ForwardStart(200, ())))
        assert await answer.read_head() == ForwardStart(200, ())

    run(play())
