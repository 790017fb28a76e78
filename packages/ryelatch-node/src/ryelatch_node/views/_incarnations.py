"""Finds the latest incarnation where several share an entry or an address.

A replica that crashes and restarts may keep its entry in the registry, or
register under a new entry at the same address before the old entry expires.
The node would then assume layers that no process holds: requests are refused,
or stall until the upstreams time out waiting for each other. In addition, an
entry from before a crash may be written after the entry of the restarted
replica.
"""

import itertools
from collections.abc import Iterable

from ryelatch_core.fleet import Replica, Suspects

CRASHED_SECONDS = 30.0
"""How long a crash is remembered; no stream through it lasts longer."""

_MAX_SEEN = 10_000
"""Incarnations whose order of appearance is kept; fleets have hundreds."""


class Incarnations:
    """Order of replicas' incarnations, and which of them have crashed."""

    def __init__(self) -> None:
        self._crashed = Suspects()
        self._seen: dict[str, int] = {}
        self._count = itertools.count()

    def record_appearance(self, replica: Replica) -> None:
        """Record an incarnation if it is new here."""
        if replica.name not in self._seen:
            self._seen[replica.name] = next(self._count)
            if len(self._seen) > _MAX_SEEN:
                del self._seen[next(iter(self._seen))]

    def is_outdated(
        self,
        replica: Replica,
        related: Iterable[Replica],
        now: float,
    ) -> bool:
        """Whether an incarnation has crashed, or a later one has appeared.

        A replica of the store that lags, or an entry that is written late,
        may present an earlier incarnation after the later one.

        :param related: replicas of the same entry or address.
        """
        return replica.name in self.list_crashed(now) or any(
            _conflict(other, replica)
            and self._find_order(other) > self._find_order(replica)
            for other in related
        )

    def list_replaced(
        self,
        replica: Replica,
        related: Iterable[Replica],
    ) -> list[Replica]:
        """List the incarnations that must have crashed if this one runs."""
        return [other for other in related if _conflict(other, replica)]

    def record_crash(self, replica: Replica, now: float) -> None:
        """Record that an incarnation has crashed."""
        self._crashed.add(replica.name, now + CRASHED_SECONDS)

    def list_crashed(self, now: float) -> frozenset[str]:
        """List the names of incarnations that crashed recently."""
        return self._crashed.list_names(now)

    def _find_order(self, replica: Replica) -> tuple[int, int]:
        """Return a sort key: time of start, then order of appearance here."""
        return replica.started_at, self._seen.get(replica.name, 0)


def _conflict(one: Replica, other: Replica) -> bool:
    """Whether two incarnations can't both be running.

    This holds for two with the same entry, and for two of the same kind at
    one address, as only one process can listen there. An entry of another
    kind may name the address of a replica by mistake; the process that
    responds at the address then shows which one is right.
    """
    if one.name == other.name:
        return False
    same_place = one.address == other.address and _kind(one) == _kind(other)
    return one.entry == other.entry or same_place


def _kind(replica: Replica) -> tuple[str, str, str]:
    return replica.service, replica.zone, replica.accelerator
