"""What replicas say in their answers of how much they take, and from whom."""

from ryelatch_core.throttle._bucket import Bucket
from ryelatch_core.throttle._dealers import rank_dealers
from ryelatch_core.throttle._limits import Heard, LimitBook
from ryelatch_core.throttle._rests import LONGEST_REST, RestBook

__all__ = [
    'LONGEST_REST',
    'Bucket',
    'Heard',
    'LimitBook',
    'RestBook',
    'rank_dealers',
]
