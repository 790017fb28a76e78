"""When refused clients may come back.

Answers the pattern in which many are refused within seconds. Told the same
time they all come back together, find the places taken by those who came
meanwhile, and are refused again, which leaves them with nothing. So each one
gets a turn of its own, later than those refused before it, at the pace at
which places come free. A short surge is over by the time of the later turns.
"""

import math

RATE_SECONDS = 2.0
"""Time over which the pace of places is averaged: that of a usual answer."""

RETURN_SHARE = 0.25
"""Share of the places that those who return are taken to get.

The others go to those who come for the first time, as an answer that is in
time is worth four late ones to its caller.
"""

MIN_RATE = 0.5
"""Places a second that are expected at least, so that a turn has a time."""

MIN_DELAY_SECONDS = 1.0
"""Earliest turn: half of a usual answer, so some places are free by then."""

MAX_WAIT_FRACTION = 0.333
"""Share of what is left of a client's time beyond which it does not wait."""

_SPREAD = 0.3
"""Share of the longest wait over which turns beyond it are spread."""


class ReturnPlan:
    """Turns for refused clients, as one node gives them."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._updated = 0.0
        self._last = 0.0

    def note_start(self, now: float) -> None:
        """Note that a request got a place."""
        self._rate = self._decay(now) + 1 / RATE_SECONDS
        self._updated = now

    def give_turn(self, now: float, left: float, sample: float) -> float:
        """Tell a refused client after how many seconds it may come back.

        :param left: seconds that it goes on waiting for an answer.
        :param sample: from 0 to 1.
        """
        rate = max(MIN_RATE, self._decay(now) * RETURN_SHARE)
        turn = max(now + MIN_DELAY_SECONDS, self._last + 1 / rate)
        max_wait = left * MAX_WAIT_FRACTION
        if turn - now >= max_wait:
            return max_wait * (1 - _SPREAD * sample)
        self._last = turn
        return turn - now

    def _decay(self, now: float) -> float:
        return self._rate * math.exp((self._updated - now) / RATE_SECONDS)
