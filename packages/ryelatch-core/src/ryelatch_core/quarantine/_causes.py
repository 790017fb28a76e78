"""Which requests are why replicas end, and for how long they are refused."""

import itertools
from collections.abc import Iterable, Iterator, Mapping

from ryelatch_core.quarantine._case import Crashes
from ryelatch_core.quarantine._known import Known

CRASH_THRESHOLD = 3
"""Replicas that may end under a request before it is refused.

Two may end by chance under one that is resent where a group of them is lost;
each more costs all that others have there.
"""

SETTLE_SECONDS = 1.0
"""How long those that had not begun wait for a better cause to be told.

The node that sent the request which had begun tells within 0.8 s.
"""

REFUSED_SECONDS = 600.0
"""How long a request is refused after its third end.

Replicas may have ended for a reason of their own, one after the other, and
taken each request along that came. It is let in again then, with its ends
kept: if it runs it is cleared, and if a replica ends it is refused for longer.
"""

REFUSED_GROWTH = 6.0
"""By how much longer with each further end: an hour, six hours, a day."""

KEPT_SECONDS = 86_400.0
"""How long ends of a request that was refused are kept, the longest refusal."""


def list_causes(
    many: Iterable[str],
    book: Mapping[str, Known],
    now: float,
) -> Iterator[tuple[str, Crashes]]:
    """List the requests that explain the ends, those of most ends first.

    What one of them explains speaks against no other. Requests that were
    resent together with it lost the same replicas, and where replicas end
    for a reason of their own all that come lose them.

    :param many: requests under which enough replicas ended for a refusal, and
        that have not run since.
    :param book: all requests under which replicas ended.
    """
    ranked = sorted(((digest, book[digest]) for digest in many), key=_rank)
    begun = _list_begun(book.values()) if ranked else frozenset()
    explained: set[str] = set()
    for digest, known in ranked:
        if _is_cause(known, now, frozenset(explained), begun):
            explained |= known.crashes.incarnations
            if now - known.changed < _find_term(known.crashes):
                yield digest, known.crashes


def _rank(entry: tuple[str, Known]) -> tuple[int, int, str]:
    digest, crashes = entry[0], entry[1].crashes
    return -len(crashes.begun), -len(crashes.waiting), digest


def _is_cause(
    known: Known,
    now: float,
    explained: frozenset[str],
    begun_anywhere: frozenset[str],
) -> bool:
    """Whether enough replicas have ended for which nothing else speaks.

    Those that waited at a replica are cleared of its end by a request that
    had begun there. Its node may not have told of it yet.
    """
    begun = known.crashes.begun - explained
    if len(begun) >= CRASH_THRESHOLD:
        return True
    if now - known.changed < SETTLE_SECONDS:
        return False
    unexplained = known.crashes.waiting - explained - begun_anywhere
    return len(begun | unexplained) >= CRASH_THRESHOLD


def _list_begun(book: Iterable[Known]) -> frozenset[str]:
    cases = (known.crashes.begun for known in book)
    return frozenset(itertools.chain.from_iterable(cases))


def _find_term(crashes: Crashes) -> float:
    """Find for how many seconds a request is refused after its last end."""
    more = len(crashes.incarnations) - CRASH_THRESHOLD
    return min(KEPT_SECONDS, REFUSED_SECONDS * REFUSED_GROWTH**more)
