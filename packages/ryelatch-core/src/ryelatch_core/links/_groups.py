"""Groups of replicas whose links are lost or regained together."""

from collections.abc import Iterable
from typing import NamedTuple

from ryelatch_core.fleet import Replica


class LinkGroup(NamedTuple):
    """The replicas of a service in one availability zone."""

    service: str
    zone: str


def get_group(replica: Replica) -> LinkGroup:
    """Return the group of a replica."""
    return LinkGroup(replica.service, replica.zone)


def group_replicas(
    replicas: Iterable[Replica],
) -> dict[LinkGroup, list[Replica]]:
    """Sort replicas into their groups."""
    groups: dict[LinkGroup, list[Replica]] = {}
    for replica in replicas:
        groups.setdefault(get_group(replica), []).append(replica)
    return groups
