"""Requests that crash replicas, and how they are recognized and refused."""

from ryelatch_core.quarantine._tracker import (
    CRASH_WINDOW_SECONDS,
    CrashTracker,
    StoreWrite,
)
from ryelatch_core.quarantine._crashes import (
    MAX_INCARNATIONS,
    NO_CRASHES,
    Crashes,
    RequestPhase,
    StoredCrashes,
)
from ryelatch_core.quarantine._causes import CRASH_THRESHOLD
from ryelatch_core.quarantine._digest import digest_request

__all__ = [
    'CRASH_THRESHOLD',
    'CRASH_WINDOW_SECONDS',
    'MAX_INCARNATIONS',
    'NO_CRASHES',
    'CrashTracker',
    'Crashes',
    'RequestPhase',
    'StoreWrite',
    'StoredCrashes',
    'digest_request',
]
