"""Structured log lines on standard output, bounded and non-blocking."""

import json
import os
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from ryelatch_core.events._catalogue import LINES_DROPPED, EventKind, Level
from ryelatch_core.kernel import Clock

MAX_QUEUED_LINES = 2000
"""Number of lines kept while the reader of standard output is slow.

About half a megabyte, and ten seconds of a node's lines at peak load.
"""

MAX_LINES_PER_SECOND = 300
"""Lines of level ``info`` written per second; other levels are not limited.

A node's share of the peak load is 20 requests per second with 3 lines each.
The rest is for restarts, when all entries of the node's view change at once.
"""

MAX_URGENT_LINES = 3000
"""Lines of the other levels that are written at once."""

URGENT_LINES_PER_SECOND = 300
"""Rate at which lines of the other levels are written after that.

Clients cause such lines with requests that are refused.
"""

MAX_TEXT_CHARS = 256
"""Characters of a text that are written; clients choose some of them."""

_TRACE = 'trace'
"""Field of a stack trace, which is written whole."""


class LineLog:
    """Writes one JSON line for each decision or change of the node's view.

    A stalled reader of standard output must not block the router: the file
    descriptor is non-blocking, lines wait in a bounded queue, and when the
    queue is full further lines are dropped and counted. The count is reported
    in a line once there is space in the queue again.

    :param process: name of this process, written in each line.
    :param write: writes bytes and returns how many it accepted; may raise
        ``BlockingIOError``.
    """

    def __init__(
        self,
        process: str,
        clock: Clock,
        write: Callable[[bytes], int],
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.dropped = 0
        self._process = process
        self._clock = clock
        self._write = write
        self._queue: deque[bytes] = deque()
        self._second = 0
        self._written = 0
        self._urgent_left = float(MAX_URGENT_LINES)
        self._urgent_at = clock.monotonic()

    def record(self, kind: EventKind, /, **detail: Any) -> None:
        """Write a line.

        :param detail: the state that a decision is based on, with ages and
            versions, and its outcome; any values that JSON can represent.
        """
        self.counts[kind.name] += 1
        if not self._admit(kind):
            self.dropped += 1
            return
        self._queue.append(self._render(kind, detail))
        self.flush()

    def flush(self) -> None:
        """Write as many of the waiting lines as the reader accepts."""
        while self._queue:
            line = self._queue[0]
            try:
                accepted = self._write(line)
            except BlockingIOError:
                return
            if accepted < len(line):
                self._queue[0] = line[accepted:]
                return
            self._queue.popleft()

    def report_dropped(self) -> None:
        """Write a line with the number of lines dropped since the last one."""
        if self.dropped and len(self._queue) < MAX_QUEUED_LINES:
            count = self.dropped
            self.dropped = 0
            self._queue.append(self._render(LINES_DROPPED, {'lines': count}))
            self.flush()

    def _admit(self, kind: EventKind) -> bool:
        if len(self._queue) >= MAX_QUEUED_LINES:
            return False
        if kind.level is not Level.INFO:
            return self._admit_urgent()
        second = int(self._clock.monotonic())
        if second != self._second:
            self._second = second
            self._written = 0
        self._written += 1
        return self._written <= MAX_LINES_PER_SECOND

    def _admit_urgent(self) -> bool:
        now = self._clock.monotonic()
        earned = (now - self._urgent_at) * URGENT_LINES_PER_SECOND
        self._urgent_at = now
        self._urgent_left = min(MAX_URGENT_LINES, self._urgent_left + earned)
        if self._urgent_left < 1:
            return False
        self._urgent_left -= 1
        return True

    def _render(self, kind: EventKind, detail: dict[str, Any]) -> bytes:
        line = {
            'time': round(self._clock.wall(), 3),
            'monotonic': round(self._clock.monotonic(), 3),
            'process': self._process,
            'event': f'RL{kind.number}',
            'name': kind.name,
            'level': kind.level.value,
            **{name: _shorten(name, text) for name, text in detail.items()},
        }
        text = json.dumps(line, separators=(',', ':'))
        return f'{text}\n'.encode()


def _shorten(name: str, content: Any) -> Any:
    """Cut a text that is too long, and say how much is left out."""
    if name == _TRACE or not isinstance(content, str):
        return content
    left_out = len(content) - MAX_TEXT_CHARS
    if left_out <= 0:
        return content
    return f'{content[:MAX_TEXT_CHARS]}... ({left_out} more)'


def open_stdout() -> Callable[[bytes], int]:
    """Make standard output non-blocking.

    :returns: a function that writes bytes and returns how many were accepted.
    """
    descriptor = 1
    os.set_blocking(descriptor, False)

    def write(line: bytes) -> int:
        return os.write(descriptor, line)

    return write
