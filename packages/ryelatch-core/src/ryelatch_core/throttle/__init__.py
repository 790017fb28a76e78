"""Rate limits and backoffs that replicas announce in their answers."""

from ryelatch_core.throttle._backoffs import LONGEST_BACKOFF, BackoffBook
from ryelatch_core.throttle._bucket import TokenBucket
from ryelatch_core.throttle._limiters import rank_limiters
from ryelatch_core.throttle._limits import Heard, LimitBook

__all__ = [
    'LONGEST_BACKOFF',
    'BackoffBook',
    'Heard',
    'LimitBook',
    'TokenBucket',
    'rank_limiters',
]
