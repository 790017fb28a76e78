"""Finds the requests that cause crashes, and how long they are refused."""

import itertools
from collections.abc import Iterable, Iterator, Mapping

from ryelatch_core.quarantine._crashes import Crashes
from ryelatch_core.quarantine._crash_state import CrashState

CRASH_THRESHOLD = 3
"""Crashes under a request at which it is refused.

A request that is resent while a group of replicas is lost can meet two crashes
by chance. Each further crash fails all other requests of that replica.
"""

SETTLE_SECONDS = 1.0
"""Delay before a request that was only waiting at crashes is refused.

The node that sent the request which had begun to run there, and so is the
likelier cause, writes that crash to the store within 0.8 s.
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


def list_causes(
    candidates: Iterable[str],
    states: Mapping[str, CrashState],
    now: float,
) -> Iterator[tuple[str, Crashes]]:
    """List the requests to refuse, those with the most crashes first.

    A crash that one of them explains counts against no other request.
    Requests that were resent together with the cause met the same crashes;
    and where replicas crash for another reason, every request meets them.

    :param candidates: digests of requests with enough crashes for a refusal
        that have not run since.
    :param states: all requests under which replicas crashed, by digest.
    """
    ranked = sorted(
        ((digest, states[digest]) for digest in candidates), key=_rank
    )
    begun = _list_begun(states.values()) if ranked else frozenset()
    explained: set[str] = set()
    for digest, state in ranked:
        if _is_cause(state, now, frozenset(explained), begun):
            explained |= state.crashes.incarnations
            if now - state.changed < _find_refusal_seconds(state.crashes):
                yield digest, state.crashes


def _rank(entry: tuple[str, CrashState]) -> tuple[int, int, str]:
    digest, crashes = entry[0], entry[1].crashes
    return -len(crashes.begun), -len(crashes.waiting), digest


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


def _list_begun(states: Iterable[CrashState]) -> frozenset[str]:
    groups = (state.crashes.begun for state in states)
    return frozenset(itertools.chain.from_iterable(groups))


def _find_refusal_seconds(crashes: Crashes) -> float:
    """Find for how many seconds a request is refused after its last crash."""
    more = len(crashes.incarnations) - CRASH_THRESHOLD
    return min(RETENTION_SECONDS, FIRST_REFUSAL_SECONDS * REFUSAL_GROWTH**more)
