"""Tells which requests are refused as replicas end under them.

A replica that ends takes along all that it was running, ninety requests at
most, and one of them may be the cause. It is the one under which others end
too. So each end counts against those that had just begun there, by what they
ask for, and is forgotten for those that then run on elsewhere.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace

from ryelatch_core.quarantine._case import (
    NO_CRASHES,
    Crashes,
    RequestPhase,
    StoredCrashes,
)
from ryelatch_core.quarantine._causes import (
    KEPT_SECONDS,
    CRASH_THRESHOLD,
    list_causes,
)
from ryelatch_core.quarantine._known import Known

CRASH_WINDOW_SECONDS = 0.5
"""How long after its first event a run is taken for a cause of an end.

A request that ends replicas does so as it begins to run. One that has run for
longer somewhere is cleared, as it would have ended that replica.
"""

TELL_SECONDS = 0.5
"""How long the first end under a request is kept to this node, at the mean.

Most requests run on elsewhere within that time, and the store hears nothing
of them. The second end is told at once.
"""

SUSPECT_SECONDS = 120.0
"""How long ends count that are too few for a refusal."""

LEFT_SECONDS = 600.0
"""By how much longer others leave it to a node to delete what it has told."""

REWRITE_SECONDS = 3.0
"""Spread of writing again what the store has lost, so that one node does."""

MOST_CASES = 4096
"""Requests of which ends are kept; beyond that the oldest are forgotten."""

CLEARED_SECONDS = 60.0
"""How long a request that has run is not taken for the cause of an end.

Requests that many ask for, of one account alike, would else be suspected
with each replica that ends. With other software they may be the cause later.
"""

MOST_CLEARED = 4096
"""Requests that are remembered to have run; at 18 a second, all in time."""


@dataclass(frozen=True, slots=True)
class StoreWrite:
    """What the store is to be told.

    :param crashes: what its object is to say; nothing if it is to go.
    :param revision: that the object must have; 0 if there must be none.
    """

    digest: str
    crashes: Crashes | None
    revision: int


class CrashTracker:
    """The ends that this node and others have seen, by request.

    :param patience: from 0 to 1; nodes differ in it, so that they do not
        all do the same at once.
    """

    def __init__(self, patience: float) -> None:
        self._patience = patience
        self._known: OrderedDict[str, Known] = OrderedDict()
        self._cleared: OrderedDict[str, float] = OrderedDict()
        self._many: set[str] = set()
        self._refused: dict[str, Crashes] = {}

    def __len__(self) -> int:
        """Count the requests under which replicas have ended."""
        return len(self._known)

    @property
    def refused(self) -> dict[str, Crashes]:
        """The requests that are refused, as of the last judgement."""
        return dict(self._refused)

    def find_refused(self, digest: str) -> Crashes | None:
        """Find why a request is refused; nothing if it isn't."""
        return self._refused.get(digest)

    def has_pending_writes(self, now: float) -> bool:
        """Whether the store is to be told of something, now or later."""
        return any(
            self._is_cleared(digest, now) or not known.told.covers(known.own)
            for digest, known in self._known.items()
        )

    def is_suspect(self, digest: str, now: float) -> bool:
        """Whether a replica has ended under a request that may be why."""
        return digest in self._known and not self._is_cleared(digest, now)

    def record_crash(
        self,
        digest: str,
        life: str,
        manner: RequestPhase,
        now: float,
    ) -> bool:
        """Note that a replica has ended under a request.

        :returns: whether that is new.
        """
        known = self._known.get(digest, Known())
        seen = NO_CRASHES.add(life, manner)
        if self._is_cleared(digest, now) or known.crashes.covers(seen):
            return False
        again = bool(known.crashes.incarnations)
        wait = 0 if again else TELL_SECONDS * (0.5 + self._patience)
        due = min(known.due or now + wait, now + wait)
        own = known.own.add(life, manner)
        self._keep(digest, replace(known, own=own, changed=now, due=due))
        self.evaluate(now)
        return True

    def record_run(self, digest: str, now: float) -> bool:
        """Note that a request has run and its replica is still there.

        :returns: whether a replica had ended under it.
        """
        self._cleared[digest] = now
        self._cleared.move_to_end(digest)
        if len(self._cleared) > MOST_CLEARED:
            self._cleared.popitem(last=False)
        known = self._known.get(digest)
        if known is None:
            return False
        if known.stored is None:
            del self._known[digest]
        else:
            self._keep(digest, replace(known, own=NO_CRASHES))
        self.evaluate(now)
        return True

    def put(self, stored: StoredCrashes, now: float) -> None:
        """Take what the store holds of a request."""
        known = self._known.get(stored.digest, Known())
        if known.stored and known.stored.revision >= stored.revision:
            return
        self._keep(stored.digest, replace(known, stored=stored, changed=now))
        self.evaluate(now)

    def remove(self, digest: str, now: float) -> None:
        """Take note that an object was deleted: the request is let in again."""
        self._known.pop(digest, None)
        self.evaluate(now)

    def replace(self, listed: Iterable[StoredCrashes], now: float) -> None:
        """Take all that the store holds.

        What it has lost of requests that are refused is written again: the
        store may have come back from an older copy, and three more replicas
        would end until they are refused again.
        """
        fresh = {stored.digest: stored for stored in listed}
        for digest, known in tuple(self._known.items()):
            if digest in fresh or known.stored is None:
                continue
            if digest in self._refused:
                due = now + REWRITE_SECONDS * self._patience
                self._keep(digest, Known(known.crashes, None, now, due))
            elif known.own == NO_CRASHES:
                del self._known[digest]
            else:
                self._keep(digest, replace(known, stored=None))
        for stored in fresh.values():
            known = self._known.get(stored.digest, Known())
            self._keep(
                stored.digest, replace(known, stored=stored, changed=now)
            )
        self.evaluate(now)

    def evaluate(self, now: float) -> None:
        """Decide anew which requests are refused."""
        self._many &= self._known.keys()
        suspects = [
            digest for digest in self._many if not self._is_cleared(digest, now)
        ]
        self._refused = dict(list_causes(suspects, self._known, now))

    def list_due_writes(self, now: float) -> list[StoreWrite]:
        """List what the store is to be told now, and forget what lapsed."""
        steps = [
            step
            for digest, known in self._known.items()
            if (step := self._find_step(digest, known, now))
        ]
        for digest, known in tuple(self._known.items()):
            if known.stored is None and self._has_lapsed(digest, known, now):
                del self._known[digest]
        return steps

    def _find_step(self, digest: str, known: Known, now: float) -> StoreWrite | None:
        stored = known.stored
        cleared = self._is_cleared(digest, now)
        if cleared or self._has_lapsed(digest, known, now):
            return StoreWrite(digest, None, stored.revision) if stored else None
        if now < known.due or known.told.covers(known.own):
            return None
        return StoreWrite(digest, known.crashes, stored.revision if stored else 0)

    def _is_cleared(self, digest: str, now: float) -> bool:
        ran = self._cleared.get(digest)
        return ran is not None and now - ran < CLEARED_SECONDS

    def _has_lapsed(self, digest: str, known: Known, now: float) -> bool:
        lasts = SUSPECT_SECONDS
        if digest in self._many:
            lasts = KEPT_SECONDS
        if known.own == NO_CRASHES:
            lasts += LEFT_SECONDS * (0.5 + self._patience)
        return now - known.changed > lasts

    def _keep(self, digest: str, known: Known) -> None:
        """Keep what is known, and forget the oldest that is not refused."""
        self._known[digest] = known
        self._known.move_to_end(digest)
        if len(known.crashes.incarnations) >= CRASH_THRESHOLD:
            self._many.add(digest)
        if len(self._known) > MOST_CASES:
            oldest = (one for one in self._known if one not in self._refused)
            del self._known[next(oldest, digest)]
