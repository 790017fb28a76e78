"""Replicas that a node has reason to keep away from for a while."""

from collections.abc import Iterable

UNREACHABLE_SECONDS = 4.0
"""How long a replica that could not be reached is avoided.

Its entry in the registry goes after three missed heartbeats of 1.2 s; until
then it is still listed. A little longer, and the entry has gone.
"""

FULL_SECONDS = 0.3
"""How long a replica that had no room is avoided.

About the lag of reports and a fifth of a usual answer: places come free
meanwhile.
"""


class Suspects:
    """Replicas to avoid, by name, each until some time."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def add(self, name: str, until: float) -> bool:
        """Avoid a replica until some time.

        :returns: whether it was not avoided already.
        """
        known = self._until.get(name, 0)
        self._until[name] = max(known, until)
        return not known

    def clear(self, name: str) -> None:
        """Trust a replica again, as after an answer from it."""
        self._until.pop(name, None)

    def list_names(self, now: float) -> frozenset[str]:
        """List the replicas to avoid now, and forget the others."""
        self._until = {
            name: until for name, until in self._until.items() if until > now
        }
        return frozenset(self._until)

    def keep(self, names: Iterable[str]) -> None:
        """Forget all replicas but those that are still listed."""
        known = set(names)
        self._until = {
            name: until for name, until in self._until.items() if name in known
        }
