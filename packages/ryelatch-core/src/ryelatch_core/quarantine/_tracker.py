"""Tracks replica crashes by their possible causes and decides what is refused.

A crash of a replica fails every request that it was running, up to ninety, and
one of them may be the cause: by its whole content, or by a part of its prompt
that further requests have as well. So each crash counts against all keys of the
requests that had just begun to run there. The count is dropped for the keys of
a request that then runs on another replica.
"""

import itertools
import math
from collections import OrderedDict
from collections.abc import Collection, Iterable, Iterator
from dataclasses import replace

from ryelatch_core.quarantine._candidates import CRASH_THRESHOLD, Candidate
from ryelatch_core.quarantine._causes import (
    RETENTION_SECONDS,
    Cause,
    Knowledge,
    is_unheard,
    list_begun,
    list_causes,
)
from ryelatch_core.quarantine._cleared import ClearedKeys
from ryelatch_core.quarantine._crash_state import CrashState
from ryelatch_core.quarantine._crashes import (
    NO_CRASHES,
    Crashes,
    RequestPhase,
    StoredCrashes,
)
from ryelatch_core.quarantine._fingerprint import Fingerprint
from ryelatch_core.quarantine._writes import StoreWrite, rank_write

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

TRIAL_DELAYS_SECONDS = (60.0, 600.0)
"""Delays from the last crash, or trial, to each trial of a refused key.

The replicas may have crashed for another reason, one after the other, whatever
they ran. One request of the fleet shows that by its run; two at most are
risked.
"""

MAX_TRACKED_KEYS = 4096
"""Keys whose crashes are tracked; beyond that the oldest are dropped."""


class CrashTracker:
    """Crashes that this node and others have seen, by possible cause.

    :param jitter: from 0 to 1; differs from node to node, so that they do
        not all write at once.
    :param same_crash_seconds: time within which all requests that were lost in
        one crash are recorded.
    :ivar unheard_since: since when a part depends on reports that this node may
        not have, in monotonic seconds; ``None`` if there is none.
    """

    def __init__(self, jitter: float, same_crash_seconds: float = 0) -> None:
        self._jitter = jitter
        self._knowledge = Knowledge(same_crash_seconds=same_crash_seconds)
        self._states: OrderedDict[str, CrashState] = OrderedDict()
        self._cleared = ClearedKeys()
        # When each key with enough crashes for a refusal first had them.
        self._over_threshold: dict[str, float] = {}
        self._causes: tuple[Cause, ...] = ()
        self.unheard_since: float | None = None
        self._refused_keys: frozenset[str] = frozenset()

    def __len__(self) -> int:
        """Count the keys under which replicas have crashed."""
        return len(self._states)

    @property
    def refused(self) -> dict[str, Cause]:
        """Causes of refusals as of the last evaluation, by their keys."""
        return {cause.key: cause for cause in self._causes if cause.settled}

    def find_refused(self, fingerprint: Fingerprint) -> Cause | None:
        """Find the cause for which a request is refused.

        :returns: ``None`` if the request is not refused.
        """
        return next(
            _list_concerning(self._causes, fingerprint, settled=True), None
        )

    def is_unsettled(self, fingerprint: Fingerprint, now: float) -> bool:
        """Whether it will be known soon if a request is refused.

        Until then it must not run, as it may crash one replica more.
        """
        if self._is_held(fingerprint):
            self.evaluate(now)
        return self._is_held(fingerprint)

    def find_trial(
        self, fingerprint: Fingerprint, now: float
    ) -> StoreWrite | None:
        """Find the write by which a refused request may run as a trial.

        Only one node succeeds with it, so the fleet risks one replica.

        :returns: ``None`` if no trial is due, or if the request is refused for
            several causes.
        """
        causes = list(_list_concerning(self._causes, fingerprint, settled=True))
        if len(causes) != 1:
            return None
        key = causes[0].key
        state = self._states.get(key, CrashState())
        trials = state.crashes.trials
        if state.stored is None or trials >= len(TRIAL_DELAYS_SECONDS):
            return None
        if now - state.changed < TRIAL_DELAYS_SECONDS[trials]:
            return None
        claimed = replace(state.crashes, trials=trials + 1)
        return StoreWrite(key, claimed, state.stored.revision)

    def set_informed(
        self, *, informed: bool, now: float, heard_at: float = math.inf
    ) -> None:
        """Record whether reports of other nodes reach this node at once.

        :param heard_at: monotonic seconds at which it had all of them.
        """
        known = self._knowledge
        since = known.informed_since
        if informed != math.isfinite(since):
            since = now if informed else math.inf
        updated = replace(known, informed_since=since, heard_at=heard_at)
        if updated != known:
            self._knowledge = updated
            self.evaluate(now)

    def has_pending_writes(self, now: float) -> bool:
        """Whether anything has to be written to the store, now or later."""
        return any(
            self._cleared.has(key, now) or not state.shared.covers(state.local)
            for key, state in self._states.items()
        )

    def find_suspect(self, fingerprint: Fingerprint, now: float) -> str | None:
        """Find the likeliest key by which a request may crash a replica.

        :returns: the key with the most crashes, ``None`` if there are none.
        """
        suspects = [
            key
            for key in fingerprint.keys
            if key in self._states and not self._cleared.has(key, now)
        ]
        return max(
            suspects,
            key=lambda name: len(self._states[name].crashes.incarnations),
            default=None,
        )

    def record_crash(
        self,
        fingerprint: Fingerprint,
        incarnation: str,
        phase: RequestPhase,
        now: float,
        events: int = 0,
    ) -> tuple[str, ...]:
        """Record that a replica has crashed under a request.

        :param incarnation: name of the replica's incarnation.
        :param events: events of its answer that had arrived from the replica.
        :returns: the keys of the request against which the crash counts anew.
        """
        seen = NO_CRASHES.add(incarnation, phase, events)
        counted = tuple(
            key
            for key in fingerprint.keys
            if not self._cleared.has(key, now) and self._count(key, seen, now)
        )
        self.evaluate(now)
        return counted

    def record_run(self, fingerprint: Fingerprint, now: float) -> bool:
        """Record that a request has run and its replica has not crashed.

        :returns: whether crashes were recorded for any of its keys.
        """
        self._cleared.record(fingerprint.keys, now)
        suspects = self._states.keys() & fingerprint.keys
        for key in suspects:
            self._set_local(key, NO_CRASHES, now)
        if suspects:
            self.evaluate(now)
        return bool(suspects)

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
            key: state
            for key, state in self._states.items()
            if state.changed >= since
            and not state.local.incarnations.isdisjoint(incarnations)
        }
        for key, state in mistaken.items():
            self._set_local(key, state.local.remove(incarnations), now)
        if mistaken:
            self.evaluate(now)
        return bool(mistaken)

    def put(self, stored: StoredCrashes, now: float) -> None:
        """Apply what the store holds about a key."""
        state = self._states.get(stored.key, CrashState())
        if state.stored and state.stored.revision >= stored.revision:
            return
        due = now + REWRITE_SPREAD_SECONDS * self._jitter
        applied = _apply_object(state, stored, now, due, self._refused_keys)
        self._update(stored.key, applied, now)
        self.evaluate(now)

    def remove(self, key: str, now: float) -> None:
        """Apply the deletion of an object: its requests are admitted again."""
        self._states.pop(key, None)
        self.evaluate(now)

    def replace(self, listed: Iterable[StoredCrashes], now: float) -> None:
        """Apply a complete list of what the store holds.

        Missing objects of refused keys are written again: the store may
        have been restored from an older copy, and each such key would crash
        three more replicas before it is refused again.
        """
        fresh = {stored.key: stored for stored in listed}
        due = now + REWRITE_SPREAD_SECONDS * self._jitter
        for key, state in tuple(self._states.items()):
            if key in fresh or state.stored is None:
                continue
            if key in self._refused_keys:
                self._update(
                    key, CrashState(state.crashes, None, now, due), now
                )
            elif state.local == NO_CRASHES:
                del self._states[key]
            else:
                self._update(key, replace(state, stored=None), now)
        for stored in fresh.values():
            state = self._states.get(stored.key, CrashState())
            applied = _apply_object(state, stored, now, due, self._refused_keys)
            self._update(stored.key, applied, now)
        self.evaluate(now)

    def evaluate(self, now: float) -> None:
        """Recompute which requests are refused."""
        self._over_threshold = {
            key: since
            for key, since in self._over_threshold.items()
            if key in self._states
        }
        refused = {cause.key for cause in self._causes if cause.settled}
        candidates = [
            Candidate(key, self._states[key], since, key in refused)
            for key, since in self._over_threshold.items()
            if not self._cleared.has(key, now)
        ]
        self.unheard_since = min(
            (
                candidate.since
                for candidate in candidates
                if is_unheard(candidate, self._knowledge)
                and not candidate.refused
            ),
            default=None,
        )
        causes = self._list_causes(candidates, now) if candidates else ()
        self._causes = causes
        self._refused_keys = frozenset(
            itertools.chain.from_iterable(
                cause.keys for cause in causes if cause.settled
            )
        )

    def list_due_writes(self, now: float) -> list[StoreWrite]:
        """List the writes that are due now, and drop expired keys.

        What most crashes are known of comes first: it is the likeliest cause.
        """
        writes = [
            write
            for key, state in self._states.items()
            if (write := self._find_write(key, state, now))
        ]
        for key, state in tuple(self._states.items()):
            if state.stored is None and self._has_expired(key, state, now):
                del self._states[key]
        return sorted(writes, key=rank_write)

    def _is_held(self, fingerprint: Fingerprint) -> bool:
        held = next(
            _list_concerning(self._causes, fingerprint, settled=False), None
        )
        return held is not None and self.find_refused(fingerprint) is None

    def _list_causes(
        self, candidates: list[Candidate], now: float
    ) -> tuple[Cause, ...]:
        suspects = {
            key: state
            for key, state in self._states.items()
            if key not in self._over_threshold
            and not self._cleared.has(key, now)
        }
        begun = list_begun(self._states.values())
        return tuple(
            list_causes(candidates, suspects, begun, self._knowledge, now)
        )

    def _count(self, key: str, seen: Crashes, now: float) -> bool:
        """Count a crash against a key.

        :param seen: the one crash.
        :returns: whether the replica's crash is new for the key.
        """
        state = self._states.get(key, CrashState())
        if state.crashes.covers(seen):
            return False
        again = bool(state.crashes.incarnations)
        wait = 0 if again else REPORT_DELAY_SECONDS * (0.5 + self._jitter)
        due = min(state.due or now + wait, now + wait)
        known = state.crashes.covers(replace(seen, events=0))
        changed = state.changed if known else now
        local = state.local.merge(seen)
        self._update(
            key, replace(state, local=local, changed=changed, due=due), now
        )
        return not known

    def _find_write(
        self, key: str, state: CrashState, now: float
    ) -> StoreWrite | None:
        stored = state.stored
        cleared = self._cleared.has(key, now)
        if cleared or self._has_expired(key, state, now):
            return StoreWrite(key, None, stored.revision) if stored else None
        if now < state.due or state.shared.covers(state.local):
            return None
        revision = stored.revision if stored else None
        return StoreWrite(key, state.crashes, revision)

    def _has_expired(self, key: str, state: CrashState, now: float) -> bool:
        lifetime = SUSPECT_SECONDS
        if key in self._over_threshold:
            lifetime = RETENTION_SECONDS
        if state.local == NO_CRASHES:
            lifetime += CLEANUP_DELAY_SECONDS * (0.5 + self._jitter)
        return now - state.changed > lifetime

    def _set_local(self, key: str, local: Crashes, now: float) -> None:
        """Set the crashes that this node has seen under a key."""
        state = self._states.pop(key)
        if state.stored or local != NO_CRASHES:
            self._update(key, replace(state, local=local), now)

    def _update(self, key: str, state: CrashState, now: float) -> None:
        """Set the state of a key, and drop the oldest that is not refused."""
        self._states[key] = state
        self._states.move_to_end(key)
        if len(state.crashes.incarnations) >= CRASH_THRESHOLD:
            self._over_threshold.setdefault(key, now)
        if len(self._states) > MAX_TRACKED_KEYS:
            oldest = (
                tracked
                for tracked in self._states
                if tracked not in self._refused_keys
            )
            del self._states[next(oldest, key)]


def _apply_object(
    state: CrashState,
    stored: StoredCrashes,
    now: float,
    due: float,
    refused: Collection[str],
) -> CrashState:
    """Apply an object; one of a refused key is completed in a new era.

    The store has come back from an older copy, which may lack crashes or trials
    that were known before. They are written again.

    :param due: from when they are, in monotonic seconds.
    :param refused: keys that are refused.
    """
    before = state.stored
    if (
        before is None
        or stored.key not in refused
        or before.revision.era == stored.revision.era
    ):
        return replace(state, stored=stored, changed=now)
    return CrashState(state.crashes, stored, now, due)


def _list_concerning(
    causes: Iterable[Cause], fingerprint: Fingerprint, *, settled: bool
) -> Iterator[Cause]:
    """List the causes for which a request is refused, or else held."""
    return (
        cause
        for cause in causes
        if cause.settled == settled and cause.concerns(fingerprint)
    )
