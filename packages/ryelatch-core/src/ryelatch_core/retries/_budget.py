"""A retry budget: a limit on retries relative to the requests."""

DEFAULT_RATIO = 0.1
"""Retries for each request."""

DEFAULT_RESERVE = 10.0
"""Largest number of retries that are saved up."""


class RetryBudget:
    """Allows retries for a fraction of the requests, and a few in reserve.

    If half of the upstreams fail and each request is sent up to three times,
    the load on the other half triples; the outage then sustains itself and
    outlasts its cause. With a budget the load grows by a tenth.

    :param ratio: retries earned by each request.
    :param reserve: largest number of retries that are saved up.
    :param rate: retries per second that are added besides.
    """

    def __init__(
        self,
        ratio: float = DEFAULT_RATIO,
        reserve: float = DEFAULT_RESERVE,
        rate: float = 0,
    ) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._rate = rate
        self._left = reserve

    def resize(self, ratio: float, reserve: float, rate: float) -> None:
        """Change the parameters; retries beyond the new reserve are lost.

        The retries left do not grow: a budget that was opened for few nodes
        and is in fact shared by many has spent too much already.
        """
        self._ratio = ratio
        self._reserve = reserve
        self._rate = rate
        self._left = min(self._left, reserve)

    @property
    def left(self) -> float:
        """Retries that may be made now."""
        return self._left

    def earn(self) -> None:
        """Record the first attempt of a request."""
        self._left = min(self._reserve, self._left + self._ratio)

    def refill(self, seconds: float) -> None:
        """Add the retries that the rate yields over some seconds."""
        self._left = min(self._reserve, self._left + self._rate * seconds)

    def spend(self) -> bool:
        """Spend one retry, if one is left.

        :returns: whether the retry may be made.
        """
        if self._left < 1:
            return False
        self._left -= 1
        return True
