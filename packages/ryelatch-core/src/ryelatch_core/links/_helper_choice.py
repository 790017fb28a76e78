"""Chooses the node that serves a request in place of one without links."""

from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass

from ryelatch_core.links._groups import LinkGroup
from ryelatch_core.membership import NodeEntry

OTHER_ZONE_WEIGHT = 0.2
"""Part of its room that a helper of another availability zone must have free.

The link between zones is shared and has a price, but one helper in the own zone
must not serve for all nodes of it.
"""


@dataclass(frozen=True, slots=True)
class Helper:
    """A node that reaches replicas.

    :param reached: groups that it reaches.
    :param room: requests that it accepts from other nodes.
    :param at: when it said so, in monotonic seconds.
    """

    node: NodeEntry
    reached: frozenset[LinkGroup]
    room: int
    at: float

    def serves(self, service: str) -> bool:
        """Whether it reaches replicas of a service, and has room."""
        return self.room > 0 and any(
            group.service == service for group in self.reached
        )


def choose_helper(
    helpers: Iterable[Helper],
    service: str,
    zone: str,
    busy: Callable[[str], int],
    excluded: Container[str] = (),
) -> Helper | None:
    """Choose the helper with the smallest part of its room in use by this node.

    :param zone: availability zone of this node.
    :param busy: returns how many requests of this node a helper serves now.
    :param excluded: names of the nodes that didn't serve this request.
    """

    def rank(helper: Helper) -> tuple[float, str]:
        part = busy(helper.node.name) / helper.room
        remote = helper.node.zone != zone
        return part + OTHER_ZONE_WEIGHT * remote, helper.node.name

    able = (
        helper
        for helper in helpers
        if helper.node.name not in excluded and helper.serves(service)
    )
    return min(able, key=rank, default=None)
