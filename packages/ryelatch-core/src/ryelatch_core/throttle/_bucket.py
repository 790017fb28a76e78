"""Permits for requests to a replica that takes a limited number of them.

Answers the load in which a replica in need is still the cheapest for each of
many nodes, as each sees only the requests that it sends itself. One node grants
the permits of all, so the sum holds at any number of nodes.

Two nodes may grant at once for a while, as their lists of nodes differ. What
both grant in some seconds has to stay below one and a half times the limit and
five requests more; granting three quarters of it, and saving up two requests at
most, both keep within that at any limit.
"""

GRANTED_SHARE = 0.75
"""Share of a limit that one node grants."""

MOST_SAVED = 2.0
"""Most permits that are saved up, in requests."""

LEAST_SAVED = 1.0
"""The same at the smallest limits; less would never make a whole request."""

LEAST_PACE = 0.25
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
        self._saved = LEAST_SAVED
        self._filled = now

    def resize(self, limit: float, now: float) -> None:
        """Change the limit from now on."""
        self._fill(now)
        self._limit = limit
        self._saved = min(self._saved, self._most)

    def take(self, now: float) -> bool:
        """Take a permit, if there is one."""
        self._fill(now)
        if self._saved < 1:
            return False
        self._saved -= 1
        return True

    def is_idle(self, now: float) -> bool:
        """Whether nobody has asked for so long that it may be forgotten."""
        return now - self._filled > IDLE_SECONDS

    def find_wait(self, now: float) -> float:
        """Tell in how many seconds there will be a permit."""
        self._fill(now)
        return max(0, 1 - self._saved) / self._pace

    @property
    def _pace(self) -> float:
        return max(LEAST_PACE, GRANTED_SHARE * self._limit)

    @property
    def _most(self) -> float:
        return min(MOST_SAVED, max(LEAST_SAVED, self._limit))

    def _fill(self, now: float) -> None:
        now = max(now, self._filled)
        passed = now - self._filled
        self._saved = min(self._most, self._saved + passed * self._pace)
        self._filled = now
