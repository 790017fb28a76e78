"""Limits the requests that a node has in progress at each first replica.

This protects engines when more requests arrive than they can serve. A first
replica processes as many requests as it has slots and queues some more. The
queued ones wait for seconds, their clients leave, and the work done for them
is lost. A node sees its own requests only, and clients arrive unevenly, so a
fixed share of the slots for each node does not work. The time to the first
event shows each node how full a first replica is, whoever fills it: it takes a
second without a free slot, and 0.05 s with one.

Each node therefore has a concurrency window for each first replica, similar to
congestion control of senders on a shared link. It grows while the requests
that it admits see their first event in time, and shrinks at once when one of
them is late. Requests above the window go to another first replica, or are
refused with a time at which to retry.

On simulated days, windows together with retry delays raise the benefit score
from 0.10 to 0.36 at four times the usual traffic, from 0.44 to 0.69 at twice
and three times, and from 0.44 to 0.67 when a surge coincides with the loss of
replicas. On standard days the difference is within the spread.
"""

import math
from collections import Counter
from collections.abc import Callable, Container
from dataclasses import dataclass

LATE_SHRINK_FACTOR = 0.85
"""Fraction of its requests to which a window shrinks if one is late.

Queues are still short then: the wait took less than half of the objective.
"""

REFUSAL_SHRINK_FACTOR = 0.7
"""Fraction of its requests to which a window shrinks if one is refused.

A first replica refuses requests when its queue is full.
"""

MIN_WINDOW = 0.1
"""Lower bound of a window; below 1 it is the probability of admission.

If there are more nodes than slots, one request of each would be too many.
"""

YIELDING_FRACTION = 0.8
"""Fraction of a window that is open to requests that yield to others.

Such requests were refused before, so their answers are late anyway. When they
could use the whole window, new requests became late as well, and an answer in
time is worth four late ones. Requests of client accounts that exceed their
share yield too.
"""

LATE_FRACTION = 0.5
"""Fraction of the objective within which the first event of a free path comes.

The prefill of a long prompt takes 0.1 s; the remainder is for the network
between client and node.
"""

SHRINK_COOLDOWN_SECONDS = 0.5
"""Time during which a window does not shrink again.

Requests that were sent before the window shrank are late too, but give no
information about its current size.
"""

GROWTH_PER_ROUND = 2.0
"""Growth of a window while as many requests as it admits come in time.

With a growth of 1, it takes the time of three answers, of a second each, to
use slots that have become free.
"""

MAX_GROWTH_FRACTION = 0.1
"""Maximum growth of a window per request, as a fraction of the window.

If two hundred nodes share the slots, windows are below 1. When they grew by a
whole request each, all nodes together overran the slots repeatedly.
"""

WINDOW_LIFETIME_SECONDS = 10.0
"""Time since one of them last shrank after which all windows are forgotten.

A window grows only while it is used. A node with few clients would keep the
windows of a burst, and refuse most of those whom the load balancer sends to it
when other nodes are out.
"""

_MIN_USED_FRACTION = 0.7
"""Fraction of a window that must be in use for it to grow."""


@dataclass(slots=True)
class _Window:
    """Limit of a window, and the time until which it does not shrink again."""

    limit: float
    cooldown_until: float

    @property
    def shrunk_at(self) -> float:
        """When it shrank last, in monotonic seconds."""
        return self.cooldown_until - SHRINK_COOLDOWN_SECONDS


class ConcurrencyWindows:
    """Concurrency windows of one node, by name of the first replica.

    :param sample: returns random numbers from 0 to 1.
    :param requests: requests by first replica, if others count them.
    """

    def __init__(
        self,
        sample: Callable[[], float],
        requests: Counter[str] | None = None,
    ) -> None:
        self.requests: Counter[str] = (
            Counter() if requests is None else requests
        )
        self._sample = sample
        self._windows: dict[str, _Window] = {}

    def add(self, name: str) -> None:
        """Record a request that was sent to a first replica."""
        self.requests[name] += 1

    def remove(self, name: str) -> None:
        """Record that a request at a first replica has finished."""
        self.requests[name] -= 1
        if self.requests[name] <= 0:
            del self.requests[name]

    def list_closed(self, *, yields: bool = False) -> frozenset[str]:
        """List the first replicas that should get no more requests now.

        :param yields: whether the request leaves a part of the window to
            others.
        """
        fraction = YIELDING_FRACTION if yields else 1
        return frozenset(
            name
            for name, window in self._windows.items()
            if self._is_closed(name, window.limit * fraction)
        )

    def read_limit(self, name: str) -> float:
        """Return the window of a first replica; infinite before it was full."""
        window = self._windows.get(name)
        return math.inf if window is None else window.limit

    def record_first_event(
        self,
        name: str,
        seconds: float,
        objective: float,
        now: float,
    ) -> None:
        """Record the time to the first event of a request.

        :param seconds: that it took.
        :param objective: seconds within which the client expects it.
        """
        if seconds > objective * LATE_FRACTION:
            self._shrink(name, LATE_SHRINK_FACTOR, now)
        else:
            self._grow(name)

    def record_refusal(self, name: str, now: float) -> None:
        """Record that a first replica refused a request because it was full."""
        self._shrink(name, REFUSAL_SHRINK_FACTOR, now)

    def keep(self, names: Container[str]) -> None:
        """Forget all but the given first replicas."""
        self._windows = {
            name: window
            for name, window in self._windows.items()
            if name in names
        }

    def forget_old(self, now: float) -> None:
        """Forget all windows if none of them has shrunk for a while.

        While one still shrinks, the others are needed too: requests turned
        away from it would fill their replicas.
        """
        shrunk_at = (window.shrunk_at for window in self._windows.values())
        if now - max(shrunk_at, default=now) >= WINDOW_LIFETIME_SECONDS:
            self._windows.clear()

    def _is_closed(self, name: str, limit: float) -> bool:
        if self.requests[name] >= max(1, limit):
            return True
        return limit < 1 and self._sample() > limit

    def _shrink(self, name: str, fraction: float, now: float) -> None:
        window = self._windows.setdefault(name, _Window(math.inf, now))
        if now < window.cooldown_until:
            return
        used_limit = min(window.limit, max(1, self.requests[name]))
        window.limit = max(MIN_WINDOW, used_limit * fraction)
        window.cooldown_until = now + SHRINK_COOLDOWN_SECONDS

    def _grow(self, name: str) -> None:
        window = self._windows.get(name)
        if window is None:
            return
        if self.requests[name] >= window.limit * _MIN_USED_FRACTION:
            step = GROWTH_PER_ROUND / window.limit
            window.limit += min(step, MAX_GROWTH_FRACTION * window.limit)
