"""Requests, and parts of prompts, that crash replicas and are refused."""

from ryelatch_core.quarantine._candidates import CRASH_THRESHOLD
from ryelatch_core.quarantine._causes import SETTLE_SECONDS, Cause
from ryelatch_core.quarantine._crashes import (
    MAX_INCARNATIONS,
    NO_CRASHES,
    Crashes,
    RequestPhase,
    StoredCrashes,
)
from ryelatch_core.quarantine._digest import digest_request
from ryelatch_core.quarantine._fingerprint import (
    Fingerprint,
    is_part,
    make_part_key,
)
from ryelatch_core.quarantine._tracker import (
    CRASH_WINDOW_SECONDS,
    CrashTracker,
)
from ryelatch_core.quarantine._writes import StoreWrite

__all__ = [
    'CRASH_THRESHOLD',
    'CRASH_WINDOW_SECONDS',
    'MAX_INCARNATIONS',
    'NO_CRASHES',
    'SETTLE_SECONDS',
    'Cause',
    'CrashTracker',
    'Crashes',
    'Fingerprint',
    'RequestPhase',
    'StoreWrite',
    'StoredCrashes',
    'digest_request',
    'is_part',
    'make_part_key',
]
