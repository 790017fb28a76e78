"""Outcomes of requests, and the errors that clients receive with them."""

from ryelatch_core.outcomes._outcome import (
    OUTCOME_HEADER,
    REQUEST_HEADER,
    Failure,
    Outcome,
)

__all__ = ['OUTCOME_HEADER', 'REQUEST_HEADER', 'Failure', 'Outcome']
