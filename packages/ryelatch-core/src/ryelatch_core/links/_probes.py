"""Which replicas are probed to find out whether a group can be reached."""

import enum
from collections.abc import Callable, Sequence

from ryelatch_core.fleet import Replica

PROBES = 2
"""Replicas of a group that are probed at first, as one may have crashed."""

MORE_PROBES = 4
"""Replicas that are probed besides if the first ones did not respond.

If a fifth of a group has crashed, six replicas drawn at random are all among
them once in 16,000 cases.
"""


class ProbeResult(enum.Enum):
    """Result of probing a group."""

    REACHED = 'reached'
    UNREACHED = 'unreached'
    UNKNOWN = 'unknown'
    """Connections were still held at the end of the probe."""


def choose_probes(
    replicas: Sequence[Replica], sample: Callable[[], float]
) -> tuple[list[Replica], list[Replica]]:
    """Choose the replicas of a group to probe, in two rounds.

    :param sample: returns random numbers from 0 to 1.
    :returns: those of the first and of the second round.
    """
    drawn = sorted(
        ((sample(), replica.name, replica) for replica in replicas),
        key=lambda entry: entry[:2],
    )
    ordered = [replica for _, _, replica in drawn]
    return ordered[:PROBES], ordered[PROBES : PROBES + MORE_PROBES]
