"""Keys that may be the cause of crashes, by how likely they are."""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass

from ryelatch_core.quarantine._crash_state import CrashState
from ryelatch_core.quarantine._fingerprint import is_part

CRASH_THRESHOLD = 3
"""Crashes under a key at which requests with it are refused.

A request that is resent while a group of replicas is lost can meet two crashes
by chance. Each further crash fails all other requests of that replica.
"""

_OUTWEIGHING_FACTOR = 2
"""By how many times more crashes a key is likelier, whatever its phase."""

_MAX_COMPARED = 8
"""Keys with the most crashes with which each other one is compared."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A key with enough crashes for a refusal that has not run since.

    :param since: monotonic seconds since which it has enough.
    :param refused: whether it is a cause for refusals so far.
    """

    key: str
    state: CrashState
    since: float
    refused: bool

    @property
    def is_reported(self) -> bool:
        """Whether nodes have written enough crashes that others have seen.

        What this node has seen alone stands in the store as well, since it has
        written it.
        """
        seen_here = len(self.state.local.incarnations)
        shared = len(self.state.shared.incarnations)
        return seen_here < CRASH_THRESHOLD <= shared

    @property
    def incarnations(self) -> frozenset[str]:
        """Replicas that crashed under requests with the key."""
        return self.state.crashes.incarnations


def rank_all(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Rank candidates, those last whose crashes another one outweighs."""
    ranked = sorted(candidates, key=rank)
    heaviest = heapq.nlargest(
        _MAX_COMPARED, ranked, key=lambda each: len(each.incarnations)
    )
    return sorted(ranked, key=lambda each: _is_outweighed(each, heaviest))


def _is_outweighed(candidate: Candidate, others: Iterable[Candidate]) -> bool:
    """Whether another one met all crashes of a candidate, and as many more."""
    own = candidate.incarnations
    return any(
        own <= other.incarnations
        and len(other.incarnations) >= _OUTWEIGHING_FACTOR * len(own)
        for other in others
    )


def rank(candidate: Candidate) -> tuple[int, int, int, bool, str]:
    """Rank the likeliest cause first.

    Of keys that met the same crashes, the one of whose answers least had
    arrived is the likeliest cause, and a whole request before its parts.
    """
    crashes = candidate.state.crashes
    return (
        -len(crashes.begun),
        -len(crashes.waiting),
        crashes.events,
        is_part(candidate.key),
        candidate.key,
    )
