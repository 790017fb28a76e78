"""The groups whose links are lost, and when each is probed next."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from ryelatch_core.links._groups import LinkGroup

FIRST_PROBE_SECONDS = 0.3
"""Time from the loss of links to the first probe.

Links that come back within a second would otherwise stay unused for longer
than they were lost.
"""

PROBE_GROWTH = 1.5
"""Factor by which the interval of probes grows."""

MAX_PROBE_SECONDS = 2.0
"""Longest interval of probes.

Callers are served through other nodes meanwhile. A fleet of 1,400 nodes that
has lost all links sends 700 probes a second to a group then.
"""

CONFIRM_SECONDS = 0.2
"""Time between the two successful probes after which links count as regained.

A single one may succeed while links come and go.
"""


@dataclass(slots=True)
class LostGroup:
    """A group whose links are lost; times are in monotonic seconds.

    :param since: when the first connection failed.
    :param next_probe: when it is probed next.
    :param interval: seconds to the probe after that.
    :param confirming: whether the last probe succeeded.
    """

    since: float
    next_probe: float
    interval: float = FIRST_PROBE_SECONDS
    confirming: bool = False


class LostLinks:
    """The groups that this node can't reach, though other nodes do."""

    def __init__(self) -> None:
        self._groups: dict[LinkGroup, LostGroup] = {}

    @property
    def groups(self) -> frozenset[LinkGroup]:
        """All groups whose links are lost."""
        return frozenset(self._groups)

    def has_service(self, service: str) -> bool:
        """Whether the links to any group of a service are lost."""
        return any(group.service == service for group in self._groups)

    def add(self, group: LinkGroup, since: float, now: float) -> bool:
        """Record that the links to a group are lost.

        :returns: whether they were not lost before.
        """
        if group in self._groups:
            return False
        self._groups[group] = LostGroup(since, now + FIRST_PROBE_SECONDS)
        return True

    def remove(self, group: LinkGroup) -> LostGroup | None:
        """Record that a group is reached again, or has no replicas left."""
        return self._groups.pop(group, None)

    def list_due(self, now: float) -> list[LinkGroup]:
        """List the groups that are to be probed now."""
        return [
            group
            for group, lost in self._groups.items()
            if lost.next_probe <= now
        ]

    def find_next_probe(self) -> float:
        """Find when the next group is to be probed; infinite if none is."""
        return min(
            (lost.next_probe for lost in self._groups.values()),
            default=math.inf,
        )

    def record_probe(
        self, group: LinkGroup, now: float, *, reached: bool
    ) -> LostGroup | None:
        """Record the result of a probe.

        :returns: the state of the group if its links are regained.
        """
        lost = self._groups.get(group)
        if lost is None:
            return None
        if reached and lost.confirming:
            return self.remove(group)
        lost.confirming = reached
        if reached:
            lost.next_probe = now + CONFIRM_SECONDS
            return None
        lost.next_probe = now + lost.interval
        lost.interval = min(MAX_PROBE_SECONDS, lost.interval * PROBE_GROWTH)
        return None

    def drop_missing(self, known: Iterable[LinkGroup]) -> None:
        """Forget the groups that have no replicas any more."""
        for group in self._groups.keys() - set(known):
            del self._groups[group]
