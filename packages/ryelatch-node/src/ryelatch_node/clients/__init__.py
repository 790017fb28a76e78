"""Connections of clients, and the bounds on what they take of a node."""

from ryelatch_node.clients._acceptor import Acceptor
from ryelatch_node.clients._connections import (
    ConnectionTable,
    compute_backlog,
    compute_max_descriptors,
)
from ryelatch_node.clients._departure import (
    HasLeft,
    get_departure_check,
    wait_for_disconnect,
)
from ryelatch_node.clients._memory import Charge, MemoryBudget, compute_capacity
from ryelatch_node.clients._protocol import BoundedProtocol
from ryelatch_node.clients._reading import BoundedReader
from ryelatch_node.clients._resources import ClientResources

__all__ = (
    'Acceptor',
    'BoundedProtocol',
    'BoundedReader',
    'Charge',
    'ClientResources',
    'ConnectionTable',
    'HasLeft',
    'MemoryBudget',
    'compute_backlog',
    'compute_capacity',
    'compute_max_descriptors',
    'get_departure_check',
    'wait_for_disconnect',
)
