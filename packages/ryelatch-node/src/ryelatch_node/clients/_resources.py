"""What all connections of clients share."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ryelatch_core.routing import ClientLimits
from ryelatch_node.clients._connections import ConnectionTable
from ryelatch_node.clients._memory import MemoryBudget
from ryelatch_node.clients._reading import READ_BYTES


@dataclass(eq=False)
class ClientResources:
    """What all connections of clients share.

    :param read_limits: returns the limits that are in force.
    :param record: writes an event with its details into the log.
    :param read_buffer: into which each of them is read.
    """

    connections: ConnectionTable
    memory: MemoryBudget
    read_limits: Callable[[], ClientLimits]
    record: Callable[..., object]
    read_buffer: bytearray = field(
        default_factory=lambda: bytearray(READ_BYTES)
    )
