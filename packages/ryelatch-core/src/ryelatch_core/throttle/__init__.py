"""What replicas say in their answers of how much they take, and from whom."""

from ryelatch_core.throttle._backoffs import MAX_BACKOFF_SECONDS, BackoffTracker
from ryelatch_core.throttle._bucket import TokenBucket
from ryelatch_core.throttle._limiters import rank_limiters
from ryelatch_core.throttle._limits import ReportedLimit, LimitTracker

__all__ = [
    'MAX_BACKOFF_SECONDS',
    'BackoffTracker',
    'ReportedLimit',
    'LimitTracker',
    'TokenBucket',
    'rank_limiters',
]
