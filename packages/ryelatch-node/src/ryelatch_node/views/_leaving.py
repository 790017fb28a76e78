"""Replicas that are leaving or gone, though an entry may say otherwise."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from ryelatch_core.fleet import Replica
from ryelatch_core.kernel import Clock

MAX_LEAVING = 4096
"""Number of incarnations kept; exceeds the replicas of one kind in a fleet."""


COPY_AGE_SECONDS = 30.0
"""Age beyond which the store is not expected to come back from a copy."""


@dataclass(eq=False)
class LeavingIncarnations:
    """Names of incarnations that are leaving, the oldest report first.

    A report is valid until that incarnation terminates. The registry entry may
    still say ready, be written once more, or expire and come back during an
    outage of the store.

    When the store comes back from an older copy, the entries of replicas that
    have left since are back as well. They aren't used unless they are written
    again.
    """

    clock: Clock
    _reported: dict[str, None] = field(default_factory=dict)
    # When each incarnation was dropped, in monotonic seconds.
    _dropped: dict[str, float] = field(default_factory=dict)
    # Those dropped that had announced to leave, the oldest first.
    _left: dict[str, None] = field(default_factory=dict)
    _listed_by_copy: frozenset[str] = frozenset()

    def add(self, name: str) -> bool:
        """Record that an incarnation reported leaving.

        :returns: whether that is new.
        """
        if name in self._reported:
            return False
        _remember(self._reported, name)
        return True

    def mark(self, replica: Replica) -> Replica:
        """Return the replica, marked as leaving if it is."""
        leaving = (
            replica.name in self._reported
            or replica.name in self._listed_by_copy
        )
        if replica.leaving or not leaving:
            return replica
        return replace(replica, leaving=True)

    def record_drop(self, replica: Replica) -> None:
        """Record that an incarnation is gone."""
        self._dropped = {
            **self._list_dropped(),
            replica.name: self.clock.monotonic(),
        }
        if replica.leaving:
            _remember(self._left, replica.name)

    def has_left(self, name: str, alive: float) -> bool:
        """Whether an incarnation left, and wasn't just lost.

        It had announced that, or was still alive after it was dropped.

        :param alive: when it was still alive, in monotonic seconds.
        """
        if name in self._reported or name in self._left:
            return True
        dropped = self._dropped.get(name)
        return dropped is not None and dropped < alive

    def begin_era(self, replicas: Iterable[Replica]) -> None:
        """Keep out what has left, as a copy of the store may list it as ready.

        :param replicas: as listed before.
        """
        in_use = set()
        for replica in replicas:
            if replica.leaving:
                self.add(replica.name)
            else:
                in_use.add(replica.name)
        # An entry may have been written again since it was dropped.
        self._listed_by_copy = frozenset(self._list_dropped()) - in_use

    def record_entry(self, name: str) -> None:
        """Record that the entry of an incarnation was written just now."""
        self._listed_by_copy -= {name}

    def _list_dropped(self) -> dict[str, float]:
        since = self.clock.monotonic() - COPY_AGE_SECONDS
        return {name: at for name, at in self._dropped.items() if at >= since}


def _remember(names: dict[str, None], name: str) -> None:
    """Add a name, and forget the oldest ones."""
    names[name] = None
    while len(names) > MAX_LEAVING:
        names.pop(next(iter(names)))
