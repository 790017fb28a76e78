"""Which life of a replica is the newest, where lives share entry or address.

A replica that crashes and starts again may keep its entry in the registry, or
come back at its address under another one while the old entry has not lapsed.
The node then believes in layers that nobody holds: requests are refused, or
stand still until the upstreams give up on what they wait for. Entries of
before a crash may also be written late, after those of the life that followed.
"""

import itertools
from collections.abc import Iterable

from ryelatch_core.fleet import Replica, Suspects

ENDED_SECONDS = 30.0
"""How long an ended life is remembered: no stream through it lasts longer."""

_MOST_SEEN = 10_000
"""Lives whose order of appearance is kept; a fleet has some hundred."""


class Lives:
    """Tells which of the lives that can't both be there is the newest."""

    def __init__(self) -> None:
        self._ended = Suspects()
        self._seen: dict[str, int] = {}
        self._count = itertools.count()

    def see(self, replica: Replica) -> None:
        """Note that a life appeared, if it is new."""
        if replica.name not in self._seen:
            self._seen[replica.name] = next(self._count)
            if len(self._seen) > _MOST_SEEN:
                del self._seen[next(iter(self._seen))]

    def is_over(
        self,
        replica: Replica,
        known: Iterable[Replica],
        now: float,
    ) -> bool:
        """Whether a life has ended, or a later one is known.

        A part of the store that lags tells of the earlier life after this
        node has heard of the later one, and so do entries written late.
        """
        return replica.name in self.list_ended(now) or any(
            _exclude(other, replica) and self._age(other) > self._age(replica)
            for other in known
        )

    def list_replaced(
        self,
        replica: Replica,
        known: Iterable[Replica],
    ) -> list[Replica]:
        """List the lives that have ended if this one lives."""
        return [other for other in known if _exclude(other, replica)]

    def note_ended(self, replica: Replica, now: float) -> None:
        """Remember that a life has ended."""
        self._ended.add(replica.name, now + ENDED_SECONDS)

    def list_ended(self, now: float) -> frozenset[str]:
        """Name the lives that ended lately."""
        return self._ended.list_names(now)

    def _age(self, replica: Replica) -> tuple[int, int]:
        """Sort lives by when they began, or by when they appeared here."""
        return replica.started_at, self._seen.get(replica.name, 0)


def _exclude(one: Replica, other: Replica) -> bool:
    """Whether two lives can't be there at once.

    Two of one entry; and two of the same kind at one address, as only one of
    them can listen there. An entry of another kind at the address of a
    replica may be anyone's; whoever answers there will tell.
    """
    if one.name == other.name:
        return False
    same_place = one.address == other.address and _sort(one) == _sort(other)
    return one.entry == other.entry or same_place


def _sort(replica: Replica) -> tuple[str, str, str]:
    return replica.service, replica.zone, replica.accelerator
