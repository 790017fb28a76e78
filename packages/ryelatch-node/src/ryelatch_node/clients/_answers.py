"""Writes answers to clients, no faster than they read them."""

import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from starlette.types import Message, Send

from ryelatch_node.clients._memory import Charge

SLICE_BYTES = 32_768
"""Bytes of an answer that are given to the system at once."""

ANSWER_COPIES = 2
"""Parts of an answer in memory: one is written, another one has arrived."""

UNREAD_BYTES = 262_144
"""What has arrived of an answer at most while its client reads nothing."""


@dataclass(eq=False)
class AnswerWriter:
    """Writes one answer, and counts its memory until the client has read it.

    :param charge: memory of the request.
    :param is_unread: whether the client has left too much of it unread.
    :param evict: closes the connection, if there is no room.
    """

    charge: Charge
    is_unread: Callable[[], bool]
    evict: Callable[[], None]

    async def write(self, send: Send, message: Message) -> None:
        """Write a message, a long one in slices.

        :param send: waits until the client has read most of what was written.
        """
        body = message.get('body', b'')
        cost = 0
        if len(body) > SLICE_BYTES:
            cost = ANSWER_COPIES * len(body)
        elif body and self.is_unread():
            cost = UNREAD_BYTES
        if not cost:
            await send(message)
            return
        if not self.charge.grow(cost):
            self.evict()
            return
        try:
            for piece in _slice(message, body):
                await send(piece)
        finally:
            self.charge.shrink(cost)


def _slice(message: Message, body: bytes) -> Iterator[Message]:
    """Slice a message with a part of a body into several."""
    starts = range(0, len(body), SLICE_BYTES)
    for start, following in itertools.pairwise((*starts, len(body))):
        is_last = following == len(body)
        yield {
            **message,
            'body': body[start:following],
            'more_body': message.get('more_body', False) or not is_last,
        }
