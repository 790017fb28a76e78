"""Revisions of a store that may come back from an older copy."""

from ryelatch_core.eras._revision import (
    FIRST_ERA,
    MAX_ERA,
    REWRITE_SECONDS,
    UNKNOWN_REVISION,
    StoreRevision,
)

__all__ = [
    'FIRST_ERA',
    'MAX_ERA',
    'REWRITE_SECONDS',
    'UNKNOWN_REVISION',
    'StoreRevision',
]
