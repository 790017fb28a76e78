"""Connections of clients, and the bounds on what they take of a node."""

from ryelatch_node.clients._departure import (
    HasLeft,
    get_departure_check,
    wait_for_disconnect,
)
from ryelatch_node.clients._measured import MeasuredProtocol
from ryelatch_node.clients._reading import READ_BYTES, BoundedReader

__all__ = (
    'READ_BYTES',
    'BoundedReader',
    'HasLeft',
    'MeasuredProtocol',
    'get_departure_check',
    'wait_for_disconnect',
)
