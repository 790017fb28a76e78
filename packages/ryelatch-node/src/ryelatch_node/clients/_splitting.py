"""Splits what a client sends so that a parser gets one request at a time."""

_HEAD_END = b'\r\n\r\n'
_LINE_END = b'\r\n'


class RequestSplitter:
    """What was read of a connection and isn't parsed yet, and what was.

    :ivar unread: bytes that aren't parsed yet.
    :ivar has_begun: whether a request has begun and isn't complete.
    :ivar has_head: whether its header is complete.
    :ivar head_bytes: size of the header so far, with the request line.
    :ivar framing_bytes: bytes in a row that belong to no header or body:
        empty lines before a request, sizes of chunks, trailers.
    """

    def __init__(self) -> None:
        self.unread = b''
        self.has_begun = False
        self.has_head = False
        self.head_bytes = 0
        self.framing_bytes = 0
        self._body_left = 0
        self._tail = b''

    def begin(self) -> None:
        """Begin a request."""
        self.has_begun = True
        self.framing_bytes = 0

    def end_head(self, body_bytes: int) -> None:
        """Complete the header of a request.

        :param body_bytes: length of its body; 0 if it isn't given.
        """
        self.has_head = True
        self.head_bytes = 0
        self._body_left = body_bytes

    def count_body(self, size: int) -> None:
        """Count another part of a body, which may be empty."""
        if size:
            self.framing_bytes = 0
        self._body_left = max(0, self._body_left - size)

    def end(self) -> None:
        """Complete a request."""
        self.has_begun = False
        self.has_head = False
        self.framing_bytes = 0
        self._body_left = 0

    def take(self) -> bytes:
        """Take what may be parsed at once.

        A piece ends where a header may end, so no two of them begin in it.

        :returns: empty if nothing is left but lines before a request.
        """
        if not self.has_begun:
            self._skip_empty_lines()
        size = self._body_left or self._find_head_end()
        piece = self.unread[:size]
        self.unread = self.unread[size:]
        kept = len(_HEAD_END) - 1
        self._tail = (self._tail + piece)[-kept:]
        if self.has_head:
            self.framing_bytes += len(piece)
        else:
            self.head_bytes += len(piece)
        return piece

    def is_excessive(self, line_bytes: int, limit: int) -> bool:
        """Whether a header or something beside it is too long.

        The limit holds for the request line and for the lines after it.

        :param line_bytes: length of the path, most of the request line.
        :param limit: in bytes.
        """
        lines = self.head_bytes - line_bytes
        return max(line_bytes, lines, self.framing_bytes) > limit

    def _skip_empty_lines(self) -> None:
        """Skip lines that begin no request, and so start no timer either."""
        stripped = self.unread.lstrip(_LINE_END)
        self.framing_bytes += len(self.unread) - len(stripped)
        self.unread = stripped
        self._tail = b''
        self.head_bytes = 0

    def _find_head_end(self) -> int:
        """Find how much of what is unread belongs to one header at most."""
        found = (self._tail + self.unread).find(_HEAD_END)
        if found < 0:
            return len(self.unread)
        return found + len(_HEAD_END) - len(self._tail)
