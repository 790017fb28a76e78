"""Requests under which replicas end, and when they are refused."""

from ryelatch_core.quarantine._book import (
    FRESH_SECONDS,
    Book,
    Step,
)
from ryelatch_core.quarantine._case import (
    MOST_LIVES,
    NO_CASE,
    Case,
    Manner,
    StoredCase,
)
from ryelatch_core.quarantine._causes import MOST_ENDS
from ryelatch_core.quarantine._digest import digest_request

__all__ = [
    'FRESH_SECONDS',
    'MOST_ENDS',
    'MOST_LIVES',
    'NO_CASE',
    'Book',
    'Case',
    'Manner',
    'Step',
    'StoredCase',
    'digest_request',
]
