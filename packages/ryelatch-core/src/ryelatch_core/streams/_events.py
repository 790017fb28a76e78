"""Splits a byte stream into complete events and checks their order."""

import re

_BOUNDARY = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_BOUNDARY_BYTES = 4
"""Length of the longest boundary."""

MAX_EVENT_BYTES = 1_048_576
"""Longest event; its bytes are kept until it is complete."""

_MAX_DIGITS = 18
_EVENT_ID = re.compile(rb'^id:[ ]?(\d+)[ ]*\r?$', re.MULTILINE)


class StreamError(Exception):
    """An upstream skipped an event, or sent one that can't be read."""


class EventSplitter:
    """Returns the complete events of a byte stream, each once and in order.

    An upstream that fails may stop in the middle of an event. The client must
    not receive the partial event, because the next upstream sends that event
    from its beginning. An upstream that resumes a stream may also repeat
    events that the client already has.

    :param last: number of the last event that the client has.
    """

    def __init__(self, last: int | None = None) -> None:
        self.last = last
        self._buffer = b''

    @property
    def has_partial(self) -> bool:
        """Whether the stream ends with a partial event so far."""
        return bool(self._buffer)

    def discard_partial(self) -> None:
        """Discard a partial event, before another upstream continues."""
        self._buffer = b''

    def feed(self, piece: bytes) -> bytes:
        """Process bytes from the upstream.

        :returns: the complete events that the client does not have yet, byte
            for byte.
        :raises StreamError: if an event between two of them is missing, or
            one is too long or has a number that is. No event of these bytes
            counts as one that the client has, as none is returned.
        """
        delivered = self.last
        try:
            return b''.join(self._split(piece))
        except StreamError:
            self.last = delivered
            raise

    def _split(self, piece: bytes) -> list[bytes]:
        searched = max(0, len(self._buffer) - _BOUNDARY_BYTES)
        self._buffer += piece
        events: list[bytes] = []
        start = 0
        for found in _BOUNDARY.finditer(self._buffer, searched):
            event = self._buffer[start : found.end()]
            start = found.end()
            if self._is_new(event):
                events.append(event)
        self._buffer = self._buffer[start:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise StreamError('an event that does not end')
        return events

    def _is_new(self, event: bytes) -> bool:
        found = _EVENT_ID.search(event)
        if found is None:
            return True
        if len(found[1]) > _MAX_DIGITS:
            raise StreamError('the number of an event is too long')
        number = int(found[1])
        if self.last is not None:
            if number <= self.last:
                return False
            if number != self.last + 1:
                raise StreamError(f'event {number} came after {self.last}')
        self.last = number
        return True
