"""How many requests a node may have in progress at each first replica.

Answers the pattern in which more requests come than the engines can serve.
A first replica works on as many as it has slots and queues some more; those
wait for seconds, their callers leave, and the work done for them is lost. A
node sees its own requests only, and clients come unevenly, so no share of the
slots by count fits. The time to a first event tells each node how full a
first replica is, whoever fills it: it is 0.05 s where there is a slot, and a
second where there is none.

So each node keeps a window for each first replica, as senders do on a link
that they share: it grows by one while as many requests as it holds see their
first event in time, and shrinks at once when one of them is late. What is
beyond the window goes to another first replica, or is refused with a time to
come back.

Measured on played days of twice to four times the usual traffic, three or two
seeds each: worth 0.10 without and 0.36 with windows and turns at four times,
0.44 and 0.69 at twice and thrice, 0.44 and 0.67 when a surge meets a loss. On
the standard days of three sites nothing changes beyond the spread.
"""

import math
from collections import Counter
from collections.abc import Callable, Container
from dataclasses import dataclass

SHRINK_LATE = 0.85
"""Share of the requests in progress that a late first event leaves.

Queues are short then: less than half of the objective was spent in one.
"""

SHRINK_REFUSED = 0.7
"""The same after a refusal for want of room, which comes of a full queue."""

MIN_WINDOW = 0.1
"""Below one, a window is the chance that a request may go there at all.

Where there are more nodes than slots, one request of each would be too many.
"""

YIELDING_FRACTION = 0.8
"""Share of a window that requests may use which leave a part to others.

These are requests whose answers are late anyway, as they were refused before:
with the whole window for them, those who came for the first time were made
late too, and an answer in time is worth four late ones. And requests of
client accounts that have more than their share in progress.
"""

LATE_FRACTION = 0.5
"""Share of the objective that the first event of a free path stays below.

Reading a long prompt takes 0.1 s; the rest is for the callers' own way.
"""

REST_SECONDS = 0.5
"""Time in which a window shrinks once.

The requests that were sent before it shrank are late too, and tell nothing
of the window as it is now.
"""

GROWTH = 2.0
"""By how much a window grows while as many as it holds come in time.

One takes three answers' time to use what has come free, a second each.
"""

GROWTH_MOST = 0.1
"""Share by which one request lets a window grow at most.

Where two hundred nodes share the slots a window is below one; growing by a
whole request each, all of them together overran the slots again and again.
"""

_USED_SHARE = 0.7
"""Share of a window that must be in use for it to grow."""


@dataclass(slots=True)
class _Window:
    """A limit, and until when it does not shrink again."""

    limit: float
    rests: float


class ConcurrencyWindows:
    """The windows of one node, by name of the first replica.

    :param draw: draws numbers from 0 to 1.
    """

    def __init__(self, draw: Callable[[], float]) -> None:
        self.requests: Counter[str] = Counter()
        self._draw = draw
        self._windows: dict[str, _Window] = {}

    def add(self, name: str) -> None:
        """Note a request that was sent to a first replica."""
        self.requests[name] += 1

    def remove(self, name: str) -> None:
        """Note the end of one."""
        self.requests[name] -= 1
        if self.requests[name] <= 0:
            del self.requests[name]

    def list_closed(self, *, yields: bool = False) -> frozenset[str]:
        """Name the first replicas that should get no more requests now.

        :param yields: whether the request leaves a part to others.
        """
        share = YIELDING_FRACTION if yields else 1
        return frozenset(
            name
            for name, window in self._windows.items()
            if self._is_closed(name, window.limit * share)
        )

    def read_limit(self, name: str) -> float:
        """Tell the window of a first replica; infinite before it was full."""
        window = self._windows.get(name)
        return math.inf if window is None else window.limit

    def record_first_event(
        self,
        name: str,
        seconds: float,
        objective: float,
        now: float,
    ) -> None:
        """Note how long a first event took.

        :param objective: seconds in which the caller wants it.
        """
        if seconds > objective * LATE_FRACTION:
            self._shrink(name, SHRINK_LATE, now)
        else:
            self._grow(name)

    def record_refusal(self, name: str, now: float) -> None:
        """Note a refusal for want of room at a first replica."""
        self._shrink(name, SHRINK_REFUSED, now)

    def keep(self, names: Container[str]) -> None:
        """Forget all first replicas but some."""
        self._windows = {
            name: window
            for name, window in self._windows.items()
            if name in names
        }

    def _is_closed(self, name: str, limit: float) -> bool:
        if self.requests[name] >= max(1, limit):
            return True
        return limit < 1 and self._draw() > limit

    def _shrink(self, name: str, share: float, now: float) -> None:
        window = self._windows.setdefault(name, _Window(math.inf, now))
        if now < window.rests:
            return
        most = min(window.limit, max(1, self.requests[name]))
        window.limit = max(MIN_WINDOW, most * share)
        window.rests = now + REST_SECONDS

    def _grow(self, name: str) -> None:
        window = self._windows.get(name)
        if window is None:
            return
        if self.requests[name] >= window.limit * _USED_SHARE:
            step = GROWTH / window.limit
            window.limit += min(step, GROWTH_MOST * window.limit)
