"""When refused clients may come back.

Answers the pattern in which many are refused within seconds. Told the same
time they all come back together, find the places taken by those who came
meanwhile, and are refused again, which leaves them with nothing. So each one
gets a turn of its own, later than those refused before it, at the pace at
which places come free. A short surge is over by the time of the later turns.
"""

import math

PACE_SECONDS = 2.0
"""Time over which the pace of places is averaged: that of a usual answer."""

RETRY_FRACTION = 0.25
"""Share of the places that those who return are taken to get.

The others go to those who come for the first time, as an answer that is in
time is worth four late ones to its caller.
"""

LEAST_PACE = 0.5
"""Places a second that are expected at least, so that a turn has a time."""

LEAST_SECONDS = 1.0
"""Earliest turn: half of a usual answer, so some places are free by then."""

LONGEST_SHARE = 0.333
"""Share of what is left of a client's time beyond which it does not wait."""

_SPREAD = 0.3
"""Share of the longest wait over which turns beyond it are spread."""


class RetryScheduler:
    """Turns for refused clients, as one node gives them."""

    def __init__(self) -> None:
        self._pace = 0.0
        self._noted = 0.0
        self._last = 0.0

    def record_start(self, now: float) -> None:
        """Note that a request got a place."""
        self._pace = self._decay(now) + 1 / PACE_SECONDS
        self._noted = now

    def assign_delay(self, now: float, left: float, chance: float) -> float:
        """Tell a refused client after how many seconds it may come back.

        :param left: seconds that it goes on waiting for an answer.
        :param chance: from 0 to 1.
        """
        pace = max(LEAST_PACE, self._decay(now) * RETRY_FRACTION)
        turn = max(now + LEAST_SECONDS, self._last + 1 / pace)
        longest = left * LONGEST_SHARE
        if turn - now >= longest:
            return longest * (1 - _SPREAD * chance)
        self._last = turn
        return turn - now

    def _decay(self, now: float) -> float:
        return self._pace * math.exp((self._noted - now) / PACE_SECONDS)
