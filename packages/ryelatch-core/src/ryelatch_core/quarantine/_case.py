"""What is known of one request under which replicas ended."""

import enum
from dataclasses import dataclass

MOST_LIVES = 16
"""Lives kept of one request, in each manner; three are enough to refuse it."""


class RequestPhase(enum.Enum):
    """How far a request had come at a replica that ended."""

    BEGUN = 'begun'
    """It had just begun to run there."""

    WAITING = 'waiting'
    """Nothing of its answer had come; it may have waited for its turn."""


@dataclass(frozen=True, slots=True)
class Crashes:
    """Replicas that ended under one request, by the names of their lives.

    A life, and neither an entry nor an address: a replica that ends twice
    counts twice, and one that two nodes saw end counts once.

    :param begun: those at which it had just begun to run.
    :param waiting: those at which nothing of its answer had come yet.
    """

    begun: frozenset[str] = frozenset()
    waiting: frozenset[str] = frozenset()

    @property
    def incarnations(self) -> frozenset[str]:
        """All of them."""
        return self.begun | self.waiting

    def add(self, life: str, manner: RequestPhase) -> 'Crashes':
        """Add one; what is known to have begun no longer counts as waiting."""
        if manner is RequestPhase.BEGUN:
            return self.merge(Crashes(begun=frozenset((life,))))
        return self.merge(Crashes(waiting=frozenset((life,))))

    def merge(self, other: 'Crashes') -> 'Crashes':
        """Put together what two nodes have seen."""
        begun = self.begun | other.begun
        waiting = (self.waiting | other.waiting) - begun
        return Crashes(_cut(begun), _cut(waiting))

    def covers(self, other: 'Crashes') -> bool:
        """Whether another tells nothing new."""
        return self.merge(other) == self


NO_CRASHES = Crashes()


@dataclass(frozen=True, slots=True)
class StoredCrashes:
    """A case as the store holds it.

    :param revision: of its object; a write under the condition that it is
        unchanged succeeds once.
    """

    digest: str
    crashes: Crashes
    revision: int


def _cut(incarnations: frozenset[str]) -> frozenset[str]:
    if len(incarnations) <= MOST_LIVES:
        return incarnations
    return frozenset(sorted(incarnations)[:MOST_LIVES])
