"""What is known of one request under which replicas ended."""

import enum
from dataclasses import dataclass

MOST_LIVES = 16
"""Lives kept of one request, in each manner; three are enough to refuse it."""


class Manner(enum.Enum):
    """How far a request had come at a replica that ended."""

    BEGUN = 'begun'
    """It had just begun to run there."""

    WAITING = 'waiting'
    """Nothing of its answer had come; it may have waited for its turn."""


@dataclass(frozen=True, slots=True)
class Case:
    """Replicas that ended under one request, by the names of their lives.

    A life, and neither an entry nor an address: a replica that ends twice
    counts twice, and one that two nodes saw end counts once.

    :param begun: those at which it had just begun to run.
    :param waiting: those at which nothing of its answer had come yet.
    """

    begun: frozenset[str] = frozenset()
    waiting: frozenset[str] = frozenset()

    @property
    def lives(self) -> frozenset[str]:
        """All of them."""
        return self.begun | self.waiting

    def add(self, life: str, manner: Manner) -> 'Case':
        """Add one; what is known to have begun no longer counts as waiting."""
        if manner is Manner.BEGUN:
            return self.merge(Case(begun=frozenset((life,))))
        return self.merge(Case(waiting=frozenset((life,))))

    def merge(self, other: 'Case') -> 'Case':
        """Put together what two nodes have seen."""
        begun = self.begun | other.begun
        waiting = (self.waiting | other.waiting) - begun
        return Case(_cut(begun), _cut(waiting))

    def covers(self, other: 'Case') -> bool:
        """Whether another tells nothing new."""
        return self.merge(other) == self


NO_CASE = Case()


@dataclass(frozen=True, slots=True)
class StoredCase:
    """A case as the store holds it.

    :param revision: of its object; a write under the condition that it is
        unchanged succeeds once.
    """

    digest: str
    case: Case
    revision: int


def _cut(lives: frozenset[str]) -> frozenset[str]:
    if len(lives) <= MOST_LIVES:
        return lives
    return frozenset(sorted(lives)[:MOST_LIVES])
