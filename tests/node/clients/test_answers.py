"""Answers are written no faster than clients read them."""

from starlette.types import Message

from ryelatch_node.clients import MemoryBudget
from ryelatch_node.clients._answers import (
    SLICE_BYTES,
    UNREAD_BYTES,
    AnswerWriter,
)

_LONG = bytes(3 * SLICE_BYTES + 1)


async def _write(
    budget: MemoryBudget, message: Message, *, unread: bool = False
) -> tuple[list[Message], list[int], bool]:
    """Write a message.

    :returns: what was sent, what counted meanwhile, and whether it was ended.
    """
    sent: list[Message] = []
    counted: list[int] = []
    aborted: list[bool] = []

    async def send(piece: Message) -> None:
        sent.append(piece)
        counted.append(budget.used)

    charge = budget.open_charge()
    writer = AnswerWriter(charge, lambda: unread, lambda: aborted.append(True))
    await writer.write(send, message)
    assert budget.used == 0
    return sent, counted, bool(aborted)


async def test_long_answer_is_written_in_slices() -> None:
    """An answer that nobody reads waits in memory that nobody counts."""
    budget = MemoryBudget(10 * len(_LONG))
    sent, counted, aborted = await _write(
        budget, {'type': 'http.response.body', 'body': _LONG}
    )
    assert b''.join(message['body'] for message in sent) == _LONG
    assert [message['more_body'] for message in sent] == [True] * 3 + [False]
    assert min(counted) >= len(_LONG)
    assert not aborted


async def test_part_of_an_answer_is_not_its_end() -> None:
    """A slice in the middle ends the answer."""
    message = {'type': 'http.response.body', 'body': _LONG, 'more_body': True}
    sent, _, _ = await _write(MemoryBudget(10 * len(_LONG)), message)
    assert all(piece['more_body'] for piece in sent)


async def test_answer_without_room_is_broken_off() -> None:
    """An answer for which there is no room looks complete."""
    sent, _, aborted = await _write(
        MemoryBudget(1000), {'type': 'http.response.body', 'body': _LONG}
    )
    assert not sent
    assert aborted


async def test_short_answer_is_sent_as_it_is() -> None:
    """A head or a short answer needs room."""
    message = {'type': 'http.response.start', 'status': 200, 'headers': []}
    sent, _, aborted = await _write(MemoryBudget(0), message)
    assert sent == [message]
    assert not aborted


async def test_short_part_counts_while_nobody_reads() -> None:
    """Behind a short part that is unread, more arrives that nobody counts."""
    message = {'type': 'http.response.body', 'body': b'x', 'more_body': True}
    budget = MemoryBudget(10 * UNREAD_BYTES)
    sent, counted, aborted = await _write(budget, message, unread=True)
    assert [piece['body'] for piece in sent] == [b'x']
    assert counted == [UNREAD_BYTES]
    assert not aborted
    sent, _, aborted = await _write(MemoryBudget(1000), message, unread=True)
    assert aborted
    assert not sent
