"""Names the counts of places by rank, and reads them back."""

import re
from collections import Counter
from collections.abc import Mapping
from enum import StrEnum

_ACTIVITY = 'admission'


class PlaceOutcome(StrEnum):
    """What a controller decided on a request."""

    GRANTED = 'granted'
    QUEUED = 'queued'
    GRANTED_LATER = 'granted after a wait'
    REFUSED = 'refused'


_NAME = re.compile(rf'{_ACTIVITY}/rank (\d+)/({"|".join(PlaceOutcome)})')


def name_outcome(rank: int, outcome: PlaceOutcome) -> tuple[str, str, str]:
    """Return the parts of the name under which an outcome is counted.

    :param rank: of the priority of the request, from 0.
    """
    return (_ACTIVITY, f'rank {rank}', outcome)


def sum_outcomes(
    counts: Mapping[str, int],
) -> dict[int, Counter[PlaceOutcome]]:
    """Sum the outcomes by rank.

    :param counts: of all kinds, by name.
    :returns: the sums, the rank that is served first first.
    """
    ranks: dict[int, Counter[PlaceOutcome]] = {}
    for name, count in counts.items():
        match = _NAME.fullmatch(name)
        if match:
            sums = ranks.setdefault(int(match[1]), Counter())
            sums[PlaceOutcome(match[2])] += count
    return dict(sorted(ranks.items()))
