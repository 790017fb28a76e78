"""The one outcome that ends each request, and the error told with it."""

from ryelatch_core.outcomes._outcome import (
    OUTCOME_HEADER,
    REQUEST_HEADER,
    Failure,
    Outcome,
)

__all__ = ['OUTCOME_HEADER', 'REQUEST_HEADER', 'Failure', 'Outcome']
