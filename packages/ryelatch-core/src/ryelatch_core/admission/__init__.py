"""Decides which requests get a place at the replicas, and when."""

from ryelatch_core.admission._accounts import AccountTracker
from ryelatch_core.admission._retry_delays import RetryScheduler
from ryelatch_core.admission._window import LATE_FRACTION, ConcurrencyWindows

__all__ = [
    'LATE_FRACTION',
    'AccountTracker',
    'ConcurrencyWindows',
    'RetryScheduler',
]
