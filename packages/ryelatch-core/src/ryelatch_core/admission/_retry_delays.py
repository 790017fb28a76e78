"""Assigns the delays after which refused clients may retry.

When many clients are refused within seconds and are given the same delay, they
all return together, find the places taken by clients that came meanwhile, and
are refused again. Each client is therefore given its own time, later than
those refused before it, at the rate at which places become free. A short surge
is over by the time the later clients return.
"""

from ryelatch_core.admission._rates import EventRate

RATE_SECONDS = 2.0
"""Averaging time of the rate of places: the duration of a typical answer."""

RETRY_FRACTION = 0.25
"""Fraction of the places that is planned for clients that retry.

The others go to new requests: to its client, an answer in time is worth four
late ones.
"""

MIN_RATE = 0.5
"""Lower bound of the expected places per second, so that a delay is finite."""

MIN_DELAY_SECONDS = 1.0
"""Minimum delay: half of a typical answer, so some places are free by then."""

MAX_WAIT_FRACTION = 0.333
"""Maximum fraction of a client's remaining time that a delay may take."""

_SPREAD = 0.3
"""Fraction of the maximum delay over which later retries are spread."""


class RetryScheduler:
    """Retry times that were assigned to refused clients."""

    def __init__(self) -> None:
        self._rates: dict[int, EventRate] = {}
        self._last_retry_at: dict[int, float] = {}

    def record_start(self, now: float, priority: int = 0) -> None:
        """Record that a request was admitted.

        :param priority: of the request; 0 is served first.
        """
        if priority not in self._rates:
            self._rates[priority] = EventRate(RATE_SECONDS)
        self._rates[priority].record(now)

    def assign_delay(
        self, now: float, left: float, sample: float, priority: int = 0
    ) -> float:
        """Return the seconds after which a refused client may retry.

        A client comes after those of its priority and of more urgent ones that
        were refused before, and doesn't wait for less urgent ones.

        :param left: seconds that the client goes on waiting for an answer.
        :param sample: random number from 0 to 1.
        :param priority: of the request; 0 is served first.
        """
        # The places of more urgent requests are not promised to it.
        places = sum(
            rate.read(now)
            for rank, rate in self._rates.items()
            if rank >= priority
        )
        rate = max(MIN_RATE, places * RETRY_FRACTION)
        last = max(
            (
                retry_at
                for rank, retry_at in self._last_retry_at.items()
                if rank <= priority
            ),
            default=0,
        )
        retry_at = max(now + MIN_DELAY_SECONDS, last + 1 / rate)
        max_wait = left * MAX_WAIT_FRACTION
        if retry_at - now >= max_wait:
            return max_wait * (1 - _SPREAD * sample)
        self._last_retry_at[priority] = retry_at
        return retry_at - now
