"""Replicas that reported in a response that they are leaving."""

from dataclasses import dataclass, field, replace

from ryelatch_core.fleet import Replica

MAX_LEAVING = 4096
"""Number of incarnations kept; exceeds the replicas of one kind in a fleet."""


@dataclass(eq=False)
class LeavingIncarnations:
    """Names of incarnations that reported leaving, the oldest report first.

    A report is valid until that incarnation terminates. The registry entry may
    still say ready, be written once more, or expire and come back during an
    outage of the store.
    """

    _reported: dict[str, None] = field(default_factory=dict)

    def add(self, name: str) -> bool:
        """Record that an incarnation reported leaving.

        :returns: whether that is new.
        """
        if name in self._reported:
            return False
        self._reported[name] = None
        while len(self._reported) > MAX_LEAVING:
            self._reported.pop(next(iter(self._reported)))
        return True

    def mark(self, replica: Replica) -> Replica:
        """Return the replica, marked as leaving if it reported so."""
        if replica.leaving or replica.name not in self._reported:
            return replica
        return replace(replica, leaving=True)
