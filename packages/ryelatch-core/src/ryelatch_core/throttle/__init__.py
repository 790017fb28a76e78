"""What replicas say in their answers of how much they take, and from whom."""

from ryelatch_core.throttle._limits import Heard, LimitBook

__all__ = ['Heard', 'LimitBook']
