"""Requests under which replicas end, and when they are refused."""

from ryelatch_core.quarantine._book import (
    CRASH_WINDOW_SECONDS,
    CrashTracker,
    StoreWrite,
)
from ryelatch_core.quarantine._case import (
    MOST_LIVES,
    NO_CRASHES,
    Crashes,
    RequestPhase,
    StoredCrashes,
)
from ryelatch_core.quarantine._causes import CRASH_THRESHOLD
from ryelatch_core.quarantine._digest import digest_request

__all__ = [
    'CRASH_WINDOW_SECONDS',
    'CRASH_THRESHOLD',
    'MOST_LIVES',
    'NO_CRASHES',
    'CrashTracker',
    'Crashes',
    'RequestPhase',
    'StoreWrite',
    'StoredCrashes',
    'digest_request',
]
