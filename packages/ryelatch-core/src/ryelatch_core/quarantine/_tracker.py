"""Tracks replica crashes by request and decides which requests are refused.

A crash of a replica fails every request that it was running, up to ninety, and
one of them may be the cause: the one that crashes further replicas when it is
sent again. So each crash counts against the requests that had just begun to run
there, identified by their content. The count is dropped for a request that then
runs on another replica.
"""

import math
from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

from ryelatch_core.quarantine._causes import (
    CRASH_THRESHOLD,
    RETENTION_SECONDS,
    Candidate,
    Cause,
    Knowledge,
    list_begun,
    list_causes,
)
from ryelatch_core.quarantine._crash_state import CrashState
from ryelatch_core.quarantine._crashes import (
    NO_CRASHES,
    Crashes,
    RequestPhase,
    StoredCrashes,
)

CRASH_WINDOW_SECONDS = 0.5
"""Time after its first event in which a request may be the cause of a crash.

A request that crashes replicas does so when it begins to run. One that has run
for longer on some replica is cleared, as it would have crashed that replica.
"""

REPORT_DELAY_SECONDS = 0.5
"""Mean delay before the first crash under a request is written to the store.

Most requests run on another replica within that time, and nothing is written
for them. The second crash is written at once.
"""

SUSPECT_SECONDS = 120.0
"""How long crashes count that are too few for a refusal."""

CLEANUP_DELAY_SECONDS = 600.0
"""Mean extra time after which a node deletes an object of another node.

Until then the deletion is left to the node that wrote the object.
"""

REWRITE_SPREAD_SECONDS = 3.0
"""Range of the delay before an object that the store has lost is rewritten.

Delays differ from node to node, so that one node writes it for all.
"""

MAX_TRACKED_REQUESTS = 4096
"""Requests whose crashes are tracked; beyond that the oldest are dropped."""

CLEARED_SECONDS = 60.0
"""How long a request that has run is not suspected of causing a crash.

Equal requests that one account sends often would otherwise be suspected at
each crash. After an update of the replicas' software they may become a cause.
"""

MAX_CLEARED_REQUESTS = 4096
"""Requests remembered as cleared; enough for 18 a second over their time."""


@dataclass(frozen=True, slots=True)
class StoreWrite:
    """A conditional write, or deletion, of a request's object in the store.

    :param digest: digest of the request; names the object.
    :param crashes: crashes to write; ``None`` deletes the object.
    :param revision: revision that the object must have; 0 if it must not
        exist.
    """

    digest: str
    crashes: Crashes | None
    revision: int


class CrashTracker:
    """Crashes that this node and others have seen, by digest of the request.

    :param jitter: from 0 to 1; differs from node to node, so that they do
        not all write at once.
    :param same_crash_seconds: time within which all requests that were lost in
        one crash are recorded.
    """

    def __init__(self, jitter: float, same_crash_seconds: float = 0) -> None:
        self._jitter = jitter
        self._knowledge = Knowledge(same_crash_seconds=same_crash_seconds)
        self._states: OrderedDict[str, CrashState] = OrderedDict()
        self._cleared: OrderedDict[str, float] = OrderedDict()
        # When each request with enough crashes for a refusal first had them.
        self._over_threshold: dict[str, float] = {}
        self._refused: dict[str, Crashes] = {}
        self._unsettled: frozenset[str] = frozenset()

    def __len__(self) -> int:
        """Count the requests under which replicas have crashed."""
        return len(self._states)

    @property
    def refused(self) -> dict[str, Crashes]:
        """Requests refused as of the last evaluation, with their crashes."""
        return dict(self._refused)

    def find_refused(self, digest: str) -> Crashes | None:
        """Find the crashes for which a request is refused.

        :returns: ``None`` if the request is not refused.
        """
        return self._refused.get(digest)

    def is_unsettled(self, digest: str, now: float) -> bool:
        """Whether it will be known soon if a request is refused.

        Until then it must not run, as it may crash one replica more.
        """
        if digest in self._unsettled:
            self.evaluate(now)
        return digest in self._unsettled

    def set_informed(self, *, informed: bool, now: float) -> None:
        """Record whether reports of other nodes reach this node at once."""
        known = self._knowledge
        if informed != math.isfinite(known.informed_since):
            since = now if informed else math.inf
            self._knowledge = replace(known, informed_since=since)
            self.evaluate(now)

    def has_pending_writes(self, now: float) -> bool:
        """Whether anything has to be written to the store, now or later."""
        return any(
            self._is_cleared(digest, now)
            or not state.shared.covers(state.local)
            for digest, state in self._states.items()
        )

    def is_suspect(self, digest: str, now: float) -> bool:
        """Whether a request may have caused the crash of a replica."""
        return digest in self._states and not self._is_cleared(digest, now)

    def record_crash(
        self,
        digest: str,
        incarnation: str,
        phase: RequestPhase,
        now: float,
        events: int = 0,
    ) -> bool:
        """Record that a replica has crashed under a request.

        :param incarnation: name of the replica's incarnation.
        :param events: events of its answer that had arrived from the replica.
        :returns: whether the crash is new and counts against the request.
        """
        state = self._states.get(digest, CrashState())
        seen = NO_CRASHES.add(incarnation, phase, events)
        if self._is_cleared(digest, now) or state.crashes.covers(seen):
            return False
        again = bool(state.crashes.incarnations)
        wait = 0 if again else REPORT_DELAY_SECONDS * (0.5 + self._jitter)
        due = min(state.due or now + wait, now + wait)
        local = state.local.merge(seen)
        known = state.crashes.covers(NO_CRASHES.add(incarnation, phase))
        changed = state.changed if known else now
        self._update(
            digest, replace(state, local=local, changed=changed, due=due), now
        )
        self.evaluate(now)
        return not known

    def record_run(self, digest: str, now: float) -> bool:
        """Record that a request has run and its replica has not crashed.

        :returns: whether crashes were recorded for the request.
        """
        self._cleared[digest] = now
        self._cleared.move_to_end(digest)
        if len(self._cleared) > MAX_CLEARED_REQUESTS:
            self._cleared.popitem(last=False)
        state = self._states.get(digest)
        if state is None:
            return False
        if state.stored is None:
            del self._states[digest]
        else:
            self._update(digest, replace(state, local=NO_CRASHES), now)
        self.evaluate(now)
        return True

    def retract(
        self, incarnations: Collection[str], since: float, now: float
    ) -> bool:
        """Take back crashes that this node recorded by mistake.

        :param incarnations: names of replicas that have not crashed.
        :param since: crashes under requests that had none since then stay, in
            monotonic seconds.
        :returns: whether there were any.
        """
        mistaken = {
            digest: state
            for digest, state in self._states.items()
            if state.changed >= since
            and not state.local.incarnations.isdisjoint(incarnations)
        }
        for digest, state in mistaken.items():
            local = state.local.remove(incarnations)
            if local == NO_CRASHES and state.stored is None:
                del self._states[digest]
            else:
                self._update(digest, replace(state, local=local), now)
        if mistaken:
            self.evaluate(now)
        return bool(mistaken)

    def put(self, stored: StoredCrashes, now: float) -> None:
        """Apply what the store holds about a request."""
        state = self._states.get(stored.digest, CrashState())
        if state.stored and state.stored.revision >= stored.revision:
            return
        self._update(
            stored.digest, replace(state, stored=stored, changed=now), now
        )
        self.evaluate(now)

    def remove(self, digest: str, now: float) -> None:
        """Apply the deletion of an object: the request is admitted again."""
        self._states.pop(digest, None)
        self.evaluate(now)

    def replace(self, listed: Iterable[StoredCrashes], now: float) -> None:
        """Apply a complete list of what the store holds.

        Missing objects of refused requests are written again: the store may
        have been restored from an older copy, and each such request would
        crash three more replicas before it is refused again.
        """
        fresh = {stored.digest: stored for stored in listed}
        for digest, state in tuple(self._states.items()):
            if digest in fresh or state.stored is None:
                continue
            if digest in self._refused:
                due = now + REWRITE_SPREAD_SECONDS * self._jitter
                self._update(
                    digest, CrashState(state.crashes, None, now, due), now
                )
            elif state.local == NO_CRASHES:
                del self._states[digest]
            else:
                self._update(digest, replace(state, stored=None), now)
        for stored in fresh.values():
            state = self._states.get(stored.digest, CrashState())
            self._update(
                stored.digest, replace(state, stored=stored, changed=now), now
            )
        self.evaluate(now)

    def evaluate(self, now: float) -> None:
        """Recompute which requests are refused."""
        self._over_threshold = {
            digest: since
            for digest, since in self._over_threshold.items()
            if digest in self._states
        }
        candidates = [
            Candidate(
                digest, self._states[digest], since, digest in self._refused
            )
            for digest, since in self._over_threshold.items()
            if not self._is_cleared(digest, now)
        ]
        causes = self._list_causes(candidates, now) if candidates else []
        self._refused = {
            cause.digest: cause.crashes for cause in causes if cause.settled
        }
        self._unsettled = frozenset(
            cause.digest for cause in causes if not cause.settled
        )

    def list_due_writes(self, now: float) -> list[StoreWrite]:
        """List the writes that are due now, and drop expired requests."""
        writes = [
            write
            for digest, state in self._states.items()
            if (write := self._find_write(digest, state, now))
        ]
        for digest, state in tuple(self._states.items()):
            if state.stored is None and self._has_expired(digest, state, now):
                del self._states[digest]
        return writes

    def _list_causes(
        self, candidates: list[Candidate], now: float
    ) -> list[Cause]:
        suspects = (
            state
            for digest, state in self._states.items()
            if digest not in self._over_threshold
            and not self._is_cleared(digest, now)
        )
        begun = list_begun(self._states.values())
        return list(
            list_causes(candidates, suspects, begun, self._knowledge, now)
        )

    def _find_write(
        self, digest: str, state: CrashState, now: float
    ) -> StoreWrite | None:
        stored = state.stored
        cleared = self._is_cleared(digest, now)
        if cleared or self._has_expired(digest, state, now):
            return StoreWrite(digest, None, stored.revision) if stored else None
        if now < state.due or state.shared.covers(state.local):
            return None
        return StoreWrite(
            digest, state.crashes, stored.revision if stored else 0
        )

    def _is_cleared(self, digest: str, now: float) -> bool:
        ran = self._cleared.get(digest)
        return ran is not None and now - ran < CLEARED_SECONDS

    def _has_expired(self, digest: str, state: CrashState, now: float) -> bool:
        lifetime = SUSPECT_SECONDS
        if digest in self._over_threshold:
            lifetime = RETENTION_SECONDS
        if state.local == NO_CRASHES:
            lifetime += CLEANUP_DELAY_SECONDS * (0.5 + self._jitter)
        return now - state.changed > lifetime

    def _update(self, digest: str, state: CrashState, now: float) -> None:
        """Set a request's state, and drop the oldest that is not refused."""
        self._states[digest] = state
        self._states.move_to_end(digest)
        if len(state.crashes.incarnations) >= CRASH_THRESHOLD:
            self._over_threshold.setdefault(digest, now)
        if len(self._states) > MAX_TRACKED_REQUESTS:
            oldest = (
                tracked
                for tracked in self._states
                if tracked not in self._refused
            )
            del self._states[next(oldest, digest)]
