"""Splits a byte stream into complete events and checks their order."""

import re

_BOUNDARY = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_EVENT_ID = re.compile(rb'^id:[ ]?(\d+)[ ]*\r?$', re.MULTILINE)


class StreamError(Exception):
    """An upstream skipped an event."""


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
        :raises StreamError: if an event between two of them is missing.
        """
        self._buffer += piece
        events: list[bytes] = []
        start = 0
        for found in _BOUNDARY.finditer(self._buffer):
            event = self._buffer[start : found.end()]
            start = found.end()
            if self._is_new(event):
                events.append(event)
        self._buffer = self._buffer[start:]
        return b''.join(events)

    def _is_new(self, event: bytes) -> bool:
        found = _EVENT_ID.search(event)
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
