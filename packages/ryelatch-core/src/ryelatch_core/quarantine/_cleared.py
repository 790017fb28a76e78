"""Keys of requests that ran on a replica, which has not crashed."""

from collections import OrderedDict
from collections.abc import Iterable

CLEARED_SECONDS = 60.0
"""How long a request that has run is not suspected of causing a crash.

Equal requests that one account sends often would otherwise be suspected at
each crash. After an update of the replicas' software they may become a cause.
"""

MAX_CLEARED_KEYS = 16_384
"""Keys remembered as cleared; enough for 18 requests a second, with three new
parts each, over their time."""


class ClearedKeys:
    """Keys that have run a short time ago, so that no crash counts for them."""

    def __init__(self) -> None:
        self._ran: OrderedDict[str, float] = OrderedDict()

    def record(self, keys: Iterable[str], now: float) -> None:
        """Record that a request with some keys has run.

        :param now: monotonic seconds, here and below.
        """
        for key in keys:
            self._ran[key] = now
            self._ran.move_to_end(key)
        while len(self._ran) > MAX_CLEARED_KEYS:
            self._ran.popitem(last=False)

    def has(self, key: str, now: float) -> bool:
        """Whether a request with a key has run a short time ago."""
        ran = self._ran.get(key)
        return ran is not None and now - ran < CLEARED_SECONDS
