"""Replica crashes under requests that have a key in common."""

import enum
from collections.abc import Collection
from dataclasses import dataclass

from ryelatch_core.eras import StoreRevision

MAX_INCARNATIONS = 16
"""Incarnations kept for a key in each phase; three suffice to refuse."""


class RequestPhase(enum.Enum):
    """Phase of a request at a replica at the moment the replica crashed."""

    BEGUN = 'begun'
    """It had just begun to run."""

    WAITING = 'waiting'
    """No part of its answer had arrived; it may still have been queued."""


@dataclass(frozen=True, slots=True)
class Crashes:
    """Replicas that crashed under requests with one key, by incarnations.

    Names of registry entries or addresses would not do: a replica that crashes
    twice counts twice, and a crash that two nodes have seen counts once.

    :param begun: replicas at which the request had just begun to run.
    :param waiting: replicas from which no part of its answer had arrived.
    :param events: most events of its answer that arrived before a crash. A
        request that crashes replicas does so soon after it begins, while one
        that was there by chance may have run for any time.
    :param trials: requests that were let in for a trial since it is refused.
    """

    begun: frozenset[str] = frozenset()
    waiting: frozenset[str] = frozenset()
    events: int = 0
    trials: int = 0

    @property
    def incarnations(self) -> frozenset[str]:
        """Incarnations of both phases."""
        return self.begun | self.waiting

    def add(
        self, incarnation: str, phase: RequestPhase, events: int = 0
    ) -> 'Crashes':
        """Add a crash; one known as begun no longer counts as waiting."""
        names = frozenset((incarnation,))
        if phase is RequestPhase.BEGUN:
            return self.merge(Crashes(begun=names, events=events))
        return self.merge(Crashes(waiting=names, events=events))

    def remove(self, incarnations: Collection[str]) -> 'Crashes':
        """Remove the crashes of some replicas."""
        kept = Crashes(
            self.begun.difference(incarnations),
            self.waiting.difference(incarnations),
            self.events,
            self.trials,
        )
        return kept if kept.incarnations else Crashes()

    def merge(self, other: 'Crashes') -> 'Crashes':
        """Combine the crashes that two nodes have seen."""
        begun = self.begun | other.begun
        waiting = (self.waiting | other.waiting) - begun
        events = max(self.events, other.events)
        trials = max(self.trials, other.trials)
        return Crashes(_truncate(begun), _truncate(waiting), events, trials)

    def covers(self, other: 'Crashes') -> bool:
        """Whether all crashes of another are known here."""
        return self.merge(other) == self


NO_CRASHES = Crashes()


@dataclass(frozen=True, slots=True)
class StoredCrashes:
    """Crashes under requests with one key, as the store holds them.

    :param key: of a whole request or of a part of prompts; names the object.
    :param revision: revision of the object. Of several writes that require
        this revision only one succeeds.
    """

    key: str
    crashes: Crashes
    revision: StoreRevision


def _truncate(names: frozenset[str]) -> frozenset[str]:
    if len(names) <= MAX_INCARNATIONS:
        return names
    return frozenset(sorted(names)[:MAX_INCARNATIONS])
