"""Finds the requests that cause crashes, and how long they are refused."""

import enum
import itertools
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from ryelatch_core.quarantine._crash_state import CrashState
from ryelatch_core.quarantine._crashes import Crashes

CRASH_THRESHOLD = 3
"""Crashes under a request at which it is refused.

A request that is resent while a group of replicas is lost can meet two crashes
by chance. Each further crash fails all other requests of that replica.
"""

UNINFORMED_CRASH_THRESHOLD = 5
"""The same where another request may be a likelier cause, unknown to this node.

In an outage of the store, a node knows only the crashes that it has seen.
"""

SETTLE_SECONDS = 1.0
"""Delay before a request is refused that may not be the cause of its crashes.

It was only waiting at them, or another request had begun at some of them that
this node knows fewer crashes of. The node that sent the likelier cause writes
its crashes to the store within 0.8 s.
"""

FIRST_REFUSAL_SECONDS = 600.0
"""How long a request is refused after its third crash.

The replicas may have crashed for another reason, one after the other, whatever
they ran. So the request is then admitted again with its crashes kept: if it
runs it is cleared, and if a replica crashes it is refused for longer.
"""

REFUSAL_GROWTH = 6.0
"""Factor on that time for each further crash: an hour, six hours, a day."""

RETENTION_SECONDS = 86_400.0
"""How long crashes of a refused request are kept; also the longest refusal."""


@dataclass(frozen=True, slots=True)
class Cause:
    """A request that is taken for the cause of crashes.

    :param settled: whether it is refused. Otherwise reports of other nodes may
        still show that another request is the cause.
    """

    digest: str
    crashes: Crashes
    settled: bool


@dataclass(frozen=True, slots=True)
class Knowledge:
    """How well a node knows of the crashes that other nodes have seen.

    :param informed_since: monotonic seconds since which reports of other nodes
        reach this node at once; infinity if they don't.
    :param same_crash_seconds: time within which this node records all of its
        requests that were lost in one crash.
    """

    informed_since: float = 0
    same_crash_seconds: float = 0


class _Verdict(enum.Enum):
    ADMIT = enum.auto()
    HOLD = enum.auto()
    REFUSE = enum.auto()


@dataclass(frozen=True, slots=True)
class Candidate:
    """A request with enough crashes for a refusal that has not run since.

    :param since: monotonic seconds since which it has enough.
    :param refused: whether it is refused so far.
    """

    digest: str
    state: CrashState
    since: float
    refused: bool


def list_causes(
    candidates: Iterable[Candidate],
    suspects: Iterable[CrashState],
    begun: frozenset[str],
    knowledge: Knowledge,
    now: float,
) -> Iterator[Cause]:
    """List the likely causes of crashes, those with the most crashes first.

    A crash that one of them explains counts against no other request.
    Requests that were resent together with the cause met the same crashes;
    and where replicas crash for another reason, every request meets them.

    :param suspects: requests with fewer crashes that have not run since.
    :param begun: replicas at whose crash any request had just begun to run.
    """
    rivals = list(suspects)
    explained: set[str] = set()
    for candidate in sorted(candidates, key=_rank):
        state = candidate.state
        if not _is_cause(state, now, frozenset(explained), begun):
            continue
        verdict = _judge(candidate, rivals, knowledge, now)
        if verdict is _Verdict.ADMIT:
            continue
        settled = verdict is _Verdict.REFUSE
        if settled:
            explained |= state.crashes.incarnations
        else:
            rivals.append(state)
        if now - state.changed < _find_refusal_seconds(state.crashes):
            yield Cause(candidate.digest, state.crashes, settled)


def list_begun(states: Iterable[CrashState]) -> frozenset[str]:
    """List the replicas at whose crash one of some requests had begun."""
    groups = (state.crashes.begun for state in states)
    return frozenset(itertools.chain.from_iterable(groups))


def _rank(candidate: Candidate) -> tuple[int, int, int, str]:
    """Rank the likeliest cause first.

    Of requests that met the same crashes, the one of whose answers least had
    arrived is the likeliest cause.
    """
    crashes = candidate.state.crashes
    return (
        -len(crashes.begun),
        -len(crashes.waiting),
        crashes.events,
        candidate.digest,
    )


def _judge(
    candidate: Candidate,
    rivals: list[CrashState],
    knowledge: Knowledge,
    now: float,
) -> _Verdict:
    """Judge a request by the rivals that may turn out to be the cause."""
    elapsed = now - candidate.since
    if elapsed < knowledge.same_crash_seconds:
        return _Verdict.HOLD
    crashes = candidate.state.crashes
    uninformed = now - knowledge.informed_since < SETTLE_SECONDS
    # A likelier cause may be known to other nodes only.
    outranked = _is_contested(crashes, rivals, crashes.events - 1) or (
        uninformed and crashes.events > 0
    )
    equalled = _is_contested(crashes, rivals, crashes.events)
    # One as likely doesn't lift a refusal that is in force.
    contested = outranked or (equalled and not candidate.refused)
    if contested and elapsed < SETTLE_SECONDS:
        return _Verdict.HOLD
    few = len(crashes.incarnations) < UNINFORMED_CRASH_THRESHOLD
    if outranked and uninformed and few:
        return _Verdict.ADMIT
    return _Verdict.REFUSE


def _is_contested(
    crashes: Crashes, rivals: Iterable[CrashState], max_events: int
) -> bool:
    """Whether too few crashes remain at which no rival had begun.

    :param max_events: events of the answer beyond which a rival doesn't count.
    """
    likely = (rival for rival in rivals if rival.crashes.events <= max_events)
    return len(crashes.incarnations - list_begun(likely)) < CRASH_THRESHOLD


def _is_cause(
    state: CrashState,
    now: float,
    explained: frozenset[str],
    begun_anywhere: frozenset[str],
) -> bool:
    """Whether enough crashes remain that no other request explains.

    A request that waited at a replica is cleared of its crash by a request
    that had begun to run there. The node that sent the latter may not have
    reported it yet, so waiting requests are considered only after a delay.
    """
    begun = state.crashes.begun - explained
    if len(begun) >= CRASH_THRESHOLD:
        return True
    if now - state.changed < SETTLE_SECONDS:
        return False
    unexplained = state.crashes.waiting - explained - begun_anywhere
    return len(begun | unexplained) >= CRASH_THRESHOLD


def _find_refusal_seconds(crashes: Crashes) -> float:
    """Find for how many seconds a request is refused after its last crash."""
    more = len(crashes.incarnations) - CRASH_THRESHOLD
    return min(RETENTION_SECONDS, FIRST_REFUSAL_SECONDS * REFUSAL_GROWTH**more)
