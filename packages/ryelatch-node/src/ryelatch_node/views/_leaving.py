"""Replicas that said in an answer that they leave."""

from dataclasses import dataclass, field, replace

from ryelatch_core.fleet import Replica

MOST_LEAVERS = 4096
"""Lives that are remembered; more than a fleet has replicas of one kind."""


@dataclass(eq=False)
class Leavers:
    """Lives that leave by their own word, by name, the oldest word first.

    The word stands for the rest of that life. An entry may still be ready, be
    written once more, or lapse and come back in an outage of the store.
    """

    _said: dict[str, None] = field(default_factory=dict)

    def note(self, name: str) -> bool:
        """Take a replica's word.

        :returns: whether it is new.
        """
        if name in self._said:
            return False
        self._said[name] = None
        while len(self._said) > MOST_LEAVERS:
            self._said.pop(next(iter(self._said)))
        return True

    def mark(self, replica: Replica) -> Replica:
        """Mark a replica as leaving if it said so."""
        if replica.leaving or replica.name not in self._said:
            return replica
        return replace(replica, leaving=True)
