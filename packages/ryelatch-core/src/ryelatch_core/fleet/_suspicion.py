"""Keeps track of replicas that a node avoids for a while."""

from collections.abc import Iterable

UNREACHABLE_SECONDS = 4.0
"""Time for which an unreachable replica is avoided.

Its entry is listed until the registry has missed three heartbeats of 1.2 s.
This time is a little longer, so the entry has gone by its end.
"""

FULL_SECONDS = 0.3
"""Time for which a replica without free memory or slots is avoided.

It is about the delay of reports and a fifth of a typical answer; places become
free meanwhile.
"""


class Suspects:
    """Replicas to avoid, by name, each until a given time."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def add(self, name: str, until: float) -> bool:
        """Avoid a replica until a given time.

        :returns: whether it was not avoided already.
        """
        known = self._until.get(name, 0)
        self._until[name] = max(known, until)
        return not known

    def clear(self, name: str) -> None:
        """Stop avoiding a replica, as after a response from it."""
        self._until.pop(name, None)

    def list_names(self, now: float) -> frozenset[str]:
        """List the replicas to avoid now, and forget the others."""
        self._until = {
            name: until for name, until in self._until.items() if until > now
        }
        return frozenset(self._until)

    def keep(self, names: Iterable[str]) -> None:
        """Forget all but the replicas that are still listed."""
        known = set(names)
        self._until = {
            name: until for name, until in self._until.items() if name in known
        }
