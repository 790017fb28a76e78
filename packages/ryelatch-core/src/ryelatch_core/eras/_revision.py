"""A revision of the store, which has a meaning only within its era."""

from dataclasses import dataclass

FIRST_ERA = 0
"""Era of a store that hasn't named one yet."""

MAX_ERA = 1_000_000_000
"""Largest era; they rise by one at a time.

With as many fencing numbers in each as a lease may use, all are exact in JSON.
"""

REWRITE_SECONDS = 2.0
"""Time in which operators and replicas write again what the store has lost.

It counts from when a node notices that the store is back.
"""


@dataclass(frozen=True, slots=True, order=True)
class StoreRevision:
    """A state of the store.

    When the store comes back from an older copy, a new era begins, and numbers
    of the era before are given out again. So states are ordered by era first,
    and history leads from one to another only within an era.

    :param era: number of the era; it only grows.
    :param number: number of the revision within the era; -1 if none is known.
    """

    era: int
    number: int

    def can_follow(self, earlier: 'StoreRevision') -> bool:
        """Whether the store's history may lead here from another state."""
        return self.era == earlier.era and self.number >= earlier.number


UNKNOWN_REVISION = StoreRevision(FIRST_ERA, -1)
"""Revision of a node that knows no state of the store; before all others."""
