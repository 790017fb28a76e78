"""Answers that are held back, or passed on, while others are in progress."""

from collections.abc import AsyncIterator
from types import SimpleNamespace
from typing import Any

import pytest

from ryelatch_core.streams import StreamError
from ryelatch_node.relay import _non_model
from ryelatch_node.relay._errors import AnswerBroken, SendError, SendErrorKind
from ryelatch_node.relay._held import (
    MAX_ANSWER_BYTES,
    HeldBytes,
    collect,
    relay_body,
)

_PIECE = bytes(65_536)
_LONG = 2 * MAX_ANSWER_BYTES // len(_PIECE)


class _Exchange:
    """Collects what is sent to the client."""

    def __init__(self, *, started: bool = False) -> None:
        self.started = started
        self.sent = 0

    async def start(self, status: int, headers: Any) -> None:
        """Begin the answer."""
        self.started = True

    async def write(self, piece: bytes, *, more: bool = True) -> None:
        """Send a piece."""
        self.sent += len(piece)


async def _iterate(
    count: int = _LONG, error: Exception | None = None
) -> AsyncIterator[bytes]:
    for _ in range(count):
        yield _PIECE
    if error is not None:
        raise error


async def _relay(
    exchange: _Exchange, pieces: AsyncIterator[bytes], **options: bool
) -> tuple[bytes | None, int]:
    """Relay a body; returns what was held back, and what still counts."""
    total, answer = HeldBytes(), SimpleNamespace(status=200, headers=[])
    relayed: Any = exchange
    try:
        body = await relay_body(total, relayed, answer, pieces, **options)
    finally:
        assert total.held == 0
    return body, exchange.sent


async def test_short_answer_is_held_back() -> None:
    """The first part of a short answer is sent before it is whole."""
    assert await _relay(_Exchange(), _iterate(2)) == (_PIECE * 2, 0)


async def test_long_answer_is_passed_on() -> None:
    """A long answer is kept, or loses what was held back of it."""
    expected = None, _LONG * len(_PIECE)
    assert await _relay(_Exchange(), _iterate()) == expected


async def test_long_answer_that_ends_early_is_broken() -> None:
    """The part of a lost answer that was passed on looks complete."""
    lost = SendError(SendErrorKind.LOST, 'reset')
    with pytest.raises(AnswerBroken):
        await _relay(_Exchange(), _iterate(error=lost))


@pytest.mark.parametrize(
    ('started', 'may_pass_on'), [(True, True), (False, False)]
)
async def test_long_answer_disturbs_no_other(
    started: bool, may_pass_on: bool
) -> None:
    """A second answer is mixed into the one that is being passed on."""
    exchange = _Exchange(started=started)
    with pytest.raises(SendError):
        await _relay(exchange, _iterate(), may_pass_on=may_pass_on)
    assert not exchange.sent


async def test_long_error_of_another_node_is_bounded() -> None:
    """An error without end that another node passes on is collected."""
    assert await collect(_iterate(1)) == _PIECE
    with pytest.raises(StreamError):
        await collect(_iterate())


async def test_long_forwarded_answer_disturbs_no_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A forwarded answer ends a request that is being answered with 500."""

    async def forward(*options: Any) -> bool:
        head = SimpleNamespace(status=200, headers=[])
        answer = SimpleNamespace(head=head, iterate=_iterate)
        with pytest.raises(StreamError):
            await options[-1](answer)
        return False

    monkeypatch.setattr(_non_model, 'forward', forward)
    exchange: Any = _Exchange(started=True)
    context: Any = SimpleNamespace(held=HeldBytes())
    elsewhere: Any = SimpleNamespace(tried=())
    request: Any = SimpleNamespace()
    attempts = _non_model._Attempts()
    await _non_model._forward(context, exchange, request, attempts, elsewhere)
    assert attempts.received is None
