"""Permits for requests to a replica that takes a limited number of them.

Answers the load in which a replica in need is still the cheapest for each of
many nodes, as each sees only the requests that it sends itself. One node grants
the permits of all, so the sum holds at any number of nodes.

Two nodes may grant at once for a while, as their lists of nodes differ. What
both grant in some seconds has to stay below one and a half times the limit and
five requests more; granting three quarters of it, and saving up two requests at
most, both keep within that at any limit.
"""

GRANTED_FRACTION = 0.75
"""Share of a limit that one node grants."""

MAX_CAPACITY = 2.0
"""Most permits that are saved up, in requests."""

MIN_CAPACITY = 1.0
"""The same at the smallest limits; less would never make a whole request."""

MIN_RATE = 0.25
"""Permits a second that are granted at least.

Without an answer now and then nobody would learn that a limit is over.
"""

IDLE_SECONDS = 10.0
"""How long the permits of a replica are kept that nobody asks for."""


class TokenBucket:
    """The permits of one replica, as one node grants them.

    It begins with one: another node may have granted until a moment ago.

    :param limit: requests a second.
    :param now: monotonic seconds.
    """

    def __init__(self, limit: float, now: float) -> None:
        self._limit = limit
        self._tokens = MIN_CAPACITY
        self._refilled_at = now

    def resize(self, limit: float, now: float) -> None:
        """Change the limit from now on."""
        self._refill(now)
        self._limit = limit
        self._tokens = min(self._tokens, self._capacity)

    def take(self, now: float) -> bool:
        """Take a permit, if there is one."""
        self._refill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def is_idle(self, now: float) -> bool:
        """Whether nobody has asked for so long that it may be forgotten."""
        return now - self._refilled_at > IDLE_SECONDS

    def find_wait(self, now: float) -> float:
        """Tell in how many seconds there will be a permit."""
        self._refill(now)
        return max(0, 1 - self._tokens) / self._rate

    @property
    def _rate(self) -> float:
        return max(MIN_RATE, GRANTED_FRACTION * self._limit)

    @property
    def _capacity(self) -> float:
        return min(MAX_CAPACITY, max(MIN_CAPACITY, self._limit))

    def _refill(self, now: float) -> None:
        now = max(now, self._refilled_at)
        elapsed = now - self._refilled_at
        self._tokens = min(self._capacity, self._tokens + elapsed * self._rate)
        self._refilled_at = now
