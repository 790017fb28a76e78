"""Rate limits and backoffs that replicas announce in their answers."""

from ryelatch_core.throttle._backoffs import MAX_BACKOFF_SECONDS, BackoffTracker
from ryelatch_core.throttle._bucket import TokenBucket
from ryelatch_core.throttle._limiters import rank_limiters
from ryelatch_core.throttle._limits import LimitTracker, ReportedLimit

__all__ = [
    'MAX_BACKOFF_SECONDS',
    'BackoffTracker',
    'LimitTracker',
    'ReportedLimit',
    'TokenBucket',
    'rank_limiters',
]
