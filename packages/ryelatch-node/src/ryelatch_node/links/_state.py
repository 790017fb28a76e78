"""The groups that this node can't reach although others do."""

from dataclasses import dataclass, field

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.fleet import Replica
from ryelatch_core.kernel import Clock, Hub
from ryelatch_core.links import (
    LinkGroup,
    LostGroup,
    LostLinks,
    group_replicas,
)
from ryelatch_node.views import ReplicaView

_DIGITS = 3


@dataclass(frozen=True)
class LinksChanged:
    """The links to some groups were lost or regained, or were examined.

    :param lost: the groups that are lost now.
    """

    lost: frozenset[LinkGroup]


@dataclass(eq=False)
class LinkState:
    """Keeps the lost groups, and logs and announces each change."""

    log: LineLog
    clock: Clock
    hub: Hub
    replicas: ReplicaView
    lost: LostLinks = field(default_factory=LostLinks)

    def list_group(self, group: LinkGroup) -> list[Replica]:
        """List the replicas of a group that may get new work."""
        return [
            replica
            for replica in self.replicas.list_service(group.service)
            if replica.zone == group.zone
        ]

    def lose(self, witnesses: dict[LinkGroup, str], since: float) -> None:
        """Record that groups are lost to this node alone.

        :param witnesses: which node reaches each of them.
        :param since: when the first connection failed, in monotonic seconds.
        """
        now = self.clock.monotonic()
        for group, witness in sorted(witnesses.items()):
            if self.lost.add(group, since, now):
                self.log.record(
                    catalogue.LINKS_LOST,
                    service=group.service,
                    zone=group.zone,
                    since=round(now - since, _DIGITS),
                    reached_by=witness,
                )

    def record_probe(self, group: LinkGroup, *, reached: bool) -> None:
        """Record the result of probing a lost group."""
        now = self.clock.monotonic()
        regained = self.lost.record_probe(group, now, reached=reached)
        if regained is not None:
            self._log_regained(group, regained, now)
            self.announce()

    def forget_removed(self) -> None:
        """Forget the groups that have no replicas any more."""
        before = self.lost.groups
        self.lost.drop_missing(group_replicas(self.replicas.replicas.values()))
        if self.lost.groups != before:
            self.announce()

    def announce(self) -> None:
        """Tell the services of this node which groups are lost."""
        self.hub.emit(LinksChanged(self.lost.groups))

    def _log_regained(
        self, group: LinkGroup, lost: LostGroup, now: float
    ) -> None:
        self.log.record(
            catalogue.LINKS_REGAINED,
            service=group.service,
            zone=group.zone,
            seconds=round(now - lost.since, _DIGITS),
        )
