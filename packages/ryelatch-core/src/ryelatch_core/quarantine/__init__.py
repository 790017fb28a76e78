"""Requests that crash replicas, and how they are recognized and refused."""

from ryelatch_core.quarantine._book import (
    FRESH_SECONDS,
    Book,
    Step,
)
from ryelatch_core.quarantine._case import (
    MAX_INCARNATIONS,
    NO_CASE,
    Case,
    Manner,
    StoredCase,
)
from ryelatch_core.quarantine._causes import MOST_ENDS
from ryelatch_core.quarantine._digest import digest_request

__all__ = [
    'FRESH_SECONDS',
    'MAX_INCARNATIONS',
    'MOST_ENDS',
    'NO_CASE',
    'Book',
    'Case',
    'Manner',
    'Step',
    'StoredCase',
    'digest_request',
]
