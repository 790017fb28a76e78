"""Calls to non-model services: forwarding, retries and idempotency keys.

Calls that are not idempotent run at most once per idempotency key.
"""

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
