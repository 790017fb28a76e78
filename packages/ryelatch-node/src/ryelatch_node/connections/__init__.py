"""HTTP connections of a client that bound what the other side sends."""

from ryelatch_node.connections._answers import (
    EndlessAnswer,
    has_framing,
    read_bounded,
)
from ryelatch_node.connections._connector import (
    BoundedConnector,
    make_surplus_hook,
)
from ryelatch_node.connections._handler import (
    MAX_FRAMING_BYTES,
    MAX_HEAD_BYTES,
    BoundedHandler,
    SurplusHook,
)
from ryelatch_node.connections._sockets import (
    has_ended,
    set_reset_at_close,
)

__all__ = [
    'MAX_FRAMING_BYTES',
    'MAX_HEAD_BYTES',
    'BoundedConnector',
    'BoundedHandler',
    'EndlessAnswer',
    'SurplusHook',
    'has_ended',
    'has_framing',
    'make_surplus_hook',
    'read_bounded',
    'set_reset_at_close',
]
