"""Memory that requests of clients take, estimated over all connections.

The limits of a configuration bound one request. Many requests inside them, or
one short header line after another, still fill the memory of a node.
"""

from collections.abc import Callable

CAPACITY_FRACTION = 0.4
"""Part of the VM's memory for requests; the rest is for the process itself."""

LARGE_FRACTION = 0.75
"""Part of the capacity for large requests, so that small ones find room."""

SMALL_BYTES = 131_072
"""Estimated memory up to which a request is small."""


def compute_capacity(memory_bytes: float) -> int:
    """Compute the memory for requests, in bytes.

    :param memory_bytes: of the VM.
    """
    return int(memory_bytes * CAPACITY_FRACTION)


class MemoryBudget:
    """Counts the estimated memory of all requests of clients.

    :param capacity: bytes that they may take together.
    :param make_room: called when they take it, with the owner of the request
        that needs more; closes another connection, whose charges are thereby
        released, and returns whether there was one.
    :ivar used: bytes at present.
    """

    def __init__(
        self, capacity: int, make_room: Callable[[object], bool] | None = None
    ) -> None:
        self.capacity = capacity
        self.used = 0
        self._make_room = make_room

    def open_charge(self, owner: object = None) -> 'Charge':
        """Begin to count the memory of another request.

        :param owner: its connection.
        """
        return Charge(self, owner)

    def find_room(self, owner: object, size: int, total: int) -> bool:
        """Find room for more of a request, if need be by closing connections.

        :param owner: its connection.
        :param size: bytes by which it grows.
        :param total: bytes that it takes then.
        """
        bound = float(self.capacity)
        if total > SMALL_BYTES:
            bound *= LARGE_FRACTION
        while self.used + size > bound:
            if self._make_room is None or not self._make_room(owner):
                return False
        return True


class Charge:
    """The estimated memory of one request.

    :ivar size: bytes at present.
    :ivar released: whether the request is over; it takes no more then.
    """

    def __init__(self, budget: MemoryBudget, owner: object) -> None:
        self.size = 0
        self.released = False
        self._budget = budget
        self._owner = owner

    def grow(self, size: int) -> bool:
        """Count more memory, if there is room for it.

        :param size: in bytes.
        :returns: whether there is.
        """
        if self.released:
            return False
        if not self._budget.find_room(self._owner, size, self.size + size):
            return False
        self.size += size
        self._budget.used += size
        return True

    def shrink(self, size: int) -> None:
        """Count less memory.

        :param size: in bytes, that were counted before.
        """
        if not self.released:
            self.size -= size
            self._budget.used -= size

    def release(self) -> None:
        """Count no memory any more."""
        self._budget.used -= self.size
        self.size = 0
        self.released = True
        # Its connection refers to it, and holds what it counted.
        self._owner = None
