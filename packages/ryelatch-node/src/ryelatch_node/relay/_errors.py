"""Errors raised while a request is relayed."""

import enum

REPLICA_LEFT = 'replica left at the end'
"""Reason of an answer that may be complete, though nothing can confirm it."""


class SendErrorKind(enum.Enum):
    """Whether a request that got no usable answer may have run."""

    UNSENT = 'unsent'
    """No part of the request was sent."""

    LOST = 'lost'
    """No complete answer was received; the request may have run."""

    UNCONFIRMED = 'unconfirmed'
    """The answer ended with its connection, perhaps before it was complete."""

    INVALID = 'spoiled'
    """The response is not a valid answer to the request; it may have run."""


class SendError(Exception):
    """An upstream gave no usable answer."""

    def __init__(self, kind: SendErrorKind, reason: str) -> None:
        super().__init__(reason)
        self.kind = kind
        self.reason = reason


class AnswerBroken(Exception):
    """An answer can't be completed after its first part was sent on."""


class ClientGone(Exception):
    """The client closed its connection."""
