"""Finds the likely causes of crashes, and which requests they concern.

A cause is a whole request or a part of prompts, identified by its key. Each
crash counts against all keys of the requests that had just begun at the
replica, so causes of both kinds are judged by the same crashes: a crash that
one cause explains counts against no other.
"""

import enum
import itertools
import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from ryelatch_core.quarantine._candidates import (
    CRASH_THRESHOLD,
    Candidate,
    rank,
    rank_all,
)
from ryelatch_core.quarantine._crash_state import CrashState
from ryelatch_core.quarantine._crashes import Crashes
from ryelatch_core.quarantine._fingerprint import Fingerprint, is_part

DOUBTFUL_CRASH_THRESHOLD = 5
"""The same where another key may be a likelier cause.

In an outage of the store, a node knows only the crashes that it has seen. And
where a request was waiting, what had just begun there is as likely.
"""

MAX_COINCIDENCES = 1
"""Crashes that a cause need not explain, as replicas also crash by chance."""

_MIN_EXPLAINED = CRASH_THRESHOLD - MAX_COINCIDENCES
"""Least crashes of a key that explains the crashes of a part alone."""

SETTLE_SECONDS = 1.0
"""Delay before requests are refused by a key that may not be the cause.

Other nodes may know of a likelier cause. They write its crashes to the store
within 0.8 s.
"""

RETENTION_SECONDS = 86_400.0
"""How long crashes of a refused key are kept; also the longest refusal."""


@dataclass(frozen=True, slots=True)
class Cause:
    """A likely cause of crashes, and which requests it concerns.

    :param key: its key.
    :param required: keys that a request must have to be refused. Causes that
        met the same crashes can't be told apart; a request with only some of
        them shows by its run which of them is harmless.
    :param any_of: keys of which it must have one as well, as they explain the
        crashes together; empty if there are none.
    :param settled: whether requests are refused. Otherwise reports of other
        nodes may still show another cause.
    """

    key: str
    required: frozenset[str]
    any_of: frozenset[str]
    crashes: Crashes
    settled: bool

    @property
    def keys(self) -> frozenset[str]:
        """All keys on which the judgement rests."""
        return self.required | self.any_of

    def concerns(self, fingerprint: Fingerprint) -> bool:
        """Whether a request is refused, or held, for this cause."""
        keys = frozenset(fingerprint.keys)
        alternatives = not self.any_of or not self.any_of.isdisjoint(keys)
        return alternatives and self.required <= keys


@dataclass(frozen=True, slots=True)
class Knowledge:
    """How well a node knows of the crashes that other nodes have seen.

    :param informed_since: monotonic seconds since which reports of other nodes
        reach this node at once; infinity if they don't.
    :param same_crash_seconds: time within which this node records all of its
        requests that were lost in one crash.
    :param heard_at: monotonic seconds at which this node had all reports. A
        store that has just fallen silent still counts as available.
    """

    informed_since: float = 0
    same_crash_seconds: float = 0
    heard_at: float = math.inf

    def is_uninformed(self, now: float) -> bool:
        """Whether other nodes may know of crashes that this one doesn't."""
        return now - self.informed_since < SETTLE_SECONDS


class _Verdict(enum.IntEnum):
    """Verdicts on a key; of several, the last one counts."""

    REFUSE = enum.auto()
    HOLD = enum.auto()
    ADMIT = enum.auto()


def is_unheard(candidate: Candidate, knowledge: Knowledge) -> bool:
    """Whether only a new report can tell if a part is a cause."""
    seen_here_only = is_part(candidate.key) and not candidate.is_reported
    return seen_here_only and knowledge.heard_at < candidate.since


def list_causes(
    candidates: Iterable[Candidate],
    suspects: Mapping[str, CrashState],
    begun: frozenset[str],
    knowledge: Knowledge,
    now: float,
) -> Iterator[Cause]:
    """List the likely causes of crashes, those with the most crashes first.

    A crash that one of them explains counts against no other key. Requests
    that were resent together with the cause met the same crashes; and where
    replicas crash for another reason, every request meets them.

    :param suspects: keys with fewer crashes that have not run since.
    :param begun: replicas at whose crash any request had just begun to run.
    """
    ranked = rank_all(candidates)
    known = [*ranked, *_list_unlikelier(ranked, suspects, now)]
    rivals = [state for key, state in suspects.items() if not is_part(key)]
    explained: frozenset[str] = frozenset()
    for candidate in ranked:
        if not _has_enough(candidate.state, explained):
            continue
        verdict = max(
            _judge(candidate, rivals, knowledge, now),
            _judge_waiting(candidate, explained, begun, now),
        )
        if verdict is _Verdict.ADMIT:
            continue
        settled = verdict is _Verdict.REFUSE
        if settled:
            explained |= candidate.incarnations
        elif not is_part(candidate.key):
            rivals.append(candidate.state)
        yield _make_cause(candidate, known, settled=settled)


def _list_unlikelier(
    ranked: list[Candidate], suspects: Mapping[str, CrashState], now: float
) -> list[Candidate]:
    """List the keys that may explain a part's crashes with fewer of them.

    :param ranked: the keys with enough crashes for a refusal.
    """
    if not any(is_part(candidate.key) for candidate in ranked):
        return []
    return sorted(
        (
            Candidate(key, state, now, refused=False)
            for key, state in suspects.items()
            if state.crash_bound >= _MIN_EXPLAINED
        ),
        key=rank,
    )


def list_begun(states: Iterable[CrashState]) -> frozenset[str]:
    """List the replicas at whose crash one of some requests had begun."""
    groups = (state.crashes.begun for state in states)
    return frozenset(itertools.chain.from_iterable(groups))


def _make_cause(
    candidate: Candidate, known: list[Candidate], *, settled: bool
) -> Cause:
    """Find which requests a cause concerns.

    A part is judged beside all keys that explain its crashes as well, alone or
    together: what is refused must be wrong whichever of them is the cause.

    :param known: all causes in question, and keys with fewer crashes. Some of
        theirs may not have been reported yet.
    """
    required = frozenset((candidate.key,))
    any_of: frozenset[str] = frozenset()
    if is_part(candidate.key):
        others = [other for other in known if other.key != candidate.key]
        equal = _list_equal(candidate, others)
        required |= equal
        any_of = _list_alternatives(
            candidate, [other for other in others if other.key not in equal]
        )
    return Cause(
        candidate.key, required, any_of, candidate.state.crashes, settled
    )


def _list_equal(
    candidate: Candidate, others: list[Candidate]
) -> frozenset[str]:
    """List the keys that explain the crashes of a part alone.

    No request has the keys of two whole requests, so only the likeliest of
    these is listed.
    """
    keys = [
        other.key
        for other in others
        if len(candidate.incarnations - other.incarnations) <= MAX_COINCIDENCES
    ]
    digests = (key for key in keys if not is_part(key))
    parts = filter(is_part, keys)
    return frozenset((*itertools.islice(digests, 1), *parts))


def _list_alternatives(
    candidate: Candidate, others: list[Candidate]
) -> frozenset[str]:
    """List the other parts that together explain the crashes of a part."""
    parts = [
        other
        for other in others
        if is_part(other.key)
        and len(other.incarnations & candidate.incarnations) >= CRASH_THRESHOLD
    ]
    unexplained = candidate.incarnations.difference(
        *(other.incarnations for other in parts)
    )
    if unexplained:
        return frozenset()
    return frozenset(other.key for other in parts)


def _judge(
    candidate: Candidate,
    rivals: list[CrashState],
    knowledge: Knowledge,
    now: float,
) -> _Verdict:
    """Judge a key by the rivals that may turn out to be the cause."""
    if now - candidate.since < knowledge.same_crash_seconds:
        return _Verdict.HOLD
    if is_part(candidate.key):
        return _judge_part(candidate, knowledge, now)
    return _judge_request(candidate, rivals, knowledge, now)


def _judge_part(
    candidate: Candidate, knowledge: Knowledge, now: float
) -> _Verdict:
    """Judge a part of prompts, which many requests may have.

    Another node may have seen it run, or know the part that is the cause. What
    others have written has been seen by all nodes.
    """
    if candidate.refused:
        return _Verdict.REFUSE
    if now - candidate.since < SETTLE_SECONDS:
        return _Verdict.HOLD
    uninformed = is_unheard(candidate, knowledge) or knowledge.is_uninformed(
        now
    )
    if uninformed and not candidate.is_reported and _has_few(candidate):
        return _Verdict.ADMIT
    return _Verdict.REFUSE


def _judge_request(
    candidate: Candidate,
    rivals: list[CrashState],
    knowledge: Knowledge,
    now: float,
) -> _Verdict:
    crashes = candidate.state.crashes
    uninformed = knowledge.is_uninformed(now)
    # A likelier cause may be known to other nodes only.
    outranked = _is_contested(crashes, rivals, crashes.events - 1) or (
        uninformed and crashes.events > 0
    )
    equalled = _is_contested(crashes, rivals, crashes.events)
    # One as likely doesn't lift a refusal that is in force.
    contested = outranked or (equalled and not candidate.refused)
    if contested and now - candidate.since < SETTLE_SECONDS:
        return _Verdict.HOLD
    if outranked and uninformed and _has_few(candidate):
        return _Verdict.ADMIT
    return _Verdict.REFUSE


def _has_few(candidate: Candidate) -> bool:
    return len(candidate.incarnations) < DOUBTFUL_CRASH_THRESHOLD


def _is_contested(
    crashes: Crashes, rivals: Iterable[CrashState], max_events: int
) -> bool:
    """Whether too few crashes remain at which no rival had begun.

    :param max_events: events of the answer beyond which a rival doesn't count.
    """
    likely = (rival for rival in rivals if rival.crashes.events <= max_events)
    return len(crashes.incarnations - list_begun(likely)) < CRASH_THRESHOLD


def _has_enough(state: CrashState, explained: frozenset[str]) -> bool:
    """Whether enough crashes remain that no other cause explains."""
    unexplained = state.crashes.incarnations - explained
    return len(unexplained) >= CRASH_THRESHOLD


def _judge_waiting(
    candidate: Candidate,
    explained: frozenset[str],
    begun_anywhere: frozenset[str],
    now: float,
) -> _Verdict:
    """Judge a key whose requests were waiting as replicas crashed.

    What had just begun at the same replica explains a crash better, but each
    passer-by explains only one. So more crashes are needed where any had begun.
    The node that sent the cause may not have reported it yet.
    """
    crashes = candidate.state.crashes
    begun = crashes.begun - explained
    if len(begun) >= CRASH_THRESHOLD:
        return _Verdict.REFUSE
    if now - candidate.since < SETTLE_SECONDS:
        return _Verdict.HOLD
    waiting = crashes.waiting - explained
    if len(begun | (waiting - begun_anywhere)) >= CRASH_THRESHOLD:
        return _Verdict.REFUSE
    if len(begun | waiting) >= DOUBTFUL_CRASH_THRESHOLD:
        return _Verdict.REFUSE
    return _Verdict.ADMIT
