"""Plain services: calls that may be repeated, and calls that may not."""

from ryelatch_node.non_model._claims import (
    Claim,
    ClaimError,
    Claims,
    Record,
    RecordState,
    setup,
)
from ryelatch_node.non_model._forward import Answer, Call, Forwarder

__all__ = [
    'Answer',
    'Call',
    'Claim',
    'ClaimError',
    'Claims',
    'Forwarder',
    'Record',
    'RecordState',
    'setup',
]
