"""A budget of retries, as a share of the requests."""

DEFAULT_RATIO = 0.1
DEFAULT_RESERVE = 10.0


class RetryBudget:
    """Lets a share of requests be sent again, and a few in reserve.

    When half of the upstreams fail, each request that is sent up to three
    times triples the load on the other half; the outage then feeds itself
    and outlives its cause. With a budget the load grows by a tenth.

    :param ratio: retries earned by each request.
    :param reserve: the most that can be saved up.
    :param rate: retries that come free in a second besides.
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
        """Change what is earned and saved up; what is beyond it is lost.

        What is left does not grow: a budget that was opened for few nodes
        and turns out to be shared by many has spent too much already.
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
        """Note a first try."""
        self._left = min(self._reserve, self._left + self._ratio)

    def refill(self, seconds: float) -> None:
        """Add what came free in a time."""
        self._left = min(self._reserve, self._left + self._rate * seconds)

    def spend(self) -> bool:
        """Take leave for a retry, if there is any."""
        if self._left < 1:
            return False
        self._left -= 1
        return True
