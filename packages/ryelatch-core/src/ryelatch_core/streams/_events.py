"""Cuts a stream of bytes into whole events and keeps their order."""

import re

_BOUNDARY = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_IDENTITY = re.compile(rb'^id:[ ]?(\d+)[ ]*\r?$', re.MULTILINE)


class StreamError(Exception):
    """An upstream sent an event out of order."""


class EventSplitter:
    """Passes on whole events, each once and in order.

    An upstream that is lost may stop in the middle of an event. The client
    must not see the torn half, for the next upstream sends that event again
    from its beginning; and an upstream that resumes may repeat what the
    client has already.

    :param last: the number of the last event that the client has.
    """

    def __init__(self, last: int | None = None) -> None:
        self.last = last
        self._rest = b''

    @property
    def has_partial(self) -> bool:
        """Whether part of an event has come whose end has not."""
        return bool(self._rest)

    def discard_partial(self) -> None:
        """Forget a torn event, as another upstream goes on."""
        self._rest = b''

    def feed(self, piece: bytes) -> bytes:
        """Take bytes from the upstream.

        :returns: the whole events in them that are due, byte for byte.
        :raises StreamError: if an event is missing before one of them.
        """
        self._rest += piece
        due: list[bytes] = []
        start = 0
        for found in _BOUNDARY.finditer(self._rest):
            event = self._rest[start : found.end()]
            start = found.end()
            if self._is_due(event):
                due.append(event)
        self._rest = self._rest[start:]
        return b''.join(due)

    def _is_due(self, event: bytes) -> bool:
        found = _IDENTITY.search(event)
        if found is None:
            return True
        number = int(found.group(1))
        if self.last is not None:
            if number <= self.last:
                return False
            if number != self.last + 1:
                raise StreamError(f'event {number} came after {self.last}')
        self.last = number
        return True
