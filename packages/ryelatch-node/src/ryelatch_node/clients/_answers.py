"""Writes answers to clients, no faster than they read them."""

import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from starlette.types import Message, Send

from ryelatch_node.clients._memory import Charge

SLICE_BYTES = 65_536
"""Bytes of an answer that are given to the system at once."""

ANSWER_COPIES = 2
"""Parts of an answer in memory: one is written, another one has arrived."""


@dataclass(eq=False)
class AnswerWriter:
    """Writes one answer, and counts its memory until the client has read it.

    :param charge: memory of the request.
    :param evict: closes the connection, if there is no room.
    """

    charge: Charge
    evict: Callable[[], None]

    async def write(self, send: Send, message: Message) -> None:
        """Write a message, a long one in slices.

        :param send: waits until the client has read most of what was written.
        """
        body = message.get('body', b'')
        if len(body) <= SLICE_BYTES:
            await send(message)
            return
        cost = ANSWER_COPIES * len(body)
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
