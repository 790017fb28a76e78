"""Token bucket of permits for requests to a replica with a rate limit.

Each node sees only the requests that it sends itself, so to each of many nodes
an overloaded replica can still seem the cheapest. One node therefore grants the
permits for all nodes, and the limit holds for any number of them.

Two nodes may grant permits of one replica for a while, when their lists of
nodes differ. The sum that both grant over some seconds must stay below one and
a half times the limit plus five requests. Each grants three quarters of the
limit and saves up two permits at most, which ensures that at any limit.
"""

GRANTED_FRACTION = 0.75
"""Fraction of a limit that one node grants."""

MAX_CAPACITY = 2.0
"""Largest number of permits that a bucket saves up."""

MIN_CAPACITY = 1.0
"""The same at the smallest limits; with less no request would be granted."""

MIN_RATE = 0.25
"""Smallest rate of permits per second, whatever the limit.

Without an answer now and then, no node would learn that a limit is lifted.
"""

IDLE_SECONDS = 10.0
"""How long a bucket is kept while no node requests a permit from it."""


class TokenBucket:
    """Permits of one replica, granted by one node.

    A new bucket holds one permit only, as another node may have granted some
    until a moment ago.

    :param limit: requests per second.
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
        """Whether the bucket has been unused for so long that it may go."""
        return now - self._refilled_at > IDLE_SECONDS

    def find_wait(self, now: float) -> float:
        """Find the seconds until there is a permit; 0 if there is one."""
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
