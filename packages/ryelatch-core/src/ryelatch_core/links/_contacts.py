"""When connections to replicas last succeeded and failed.

Only new connections count. Open ones may live on for minutes while a firewall
or a lost route refuses all new ones, and an open one that carries nothing looks
like one whose replica is slow.
"""

from collections.abc import Container, Iterable, Mapping

from ryelatch_core.fleet import Replica
from ryelatch_core.links._groups import LinkGroup, get_group
from ryelatch_core.membership import NEVER

WINDOW_SECONDS = 1.5
"""Time for which a failed connection counts.

A connection times out after 0.6 s, and two attempts of one request in turn
have to count together.
"""

MIN_FAILED = 2
"""Replicas that must have failed before the links are in doubt.

A single one that can't be reached has most likely crashed.
"""


class Contacts:
    """Latest contacts with replicas, by address, in monotonic seconds."""

    def __init__(self) -> None:
        self._reached: dict[str, float] = {}
        self._failed: dict[str, float] = {}

    def record_reached(self, address: str, now: float) -> None:
        """Record a new connection that was established."""
        self._reached[address] = now
        self._failed.pop(address, None)

    def record_failed(self, address: str, now: float) -> None:
        """Record a connection that failed, or a silent replica.

        An earlier connection to it proves nothing any more: it may be the one
        that failed.
        """
        self._failed[address] = now
        self._reached.pop(address, None)

    def has_failed(self, address: str, since: float) -> bool:
        """Whether a connection to an address has failed since a time."""
        return self._failed.get(address, NEVER) >= since

    def was_reached(self, replicas: Iterable[Replica], since: float) -> bool:
        """Whether any replica of some was reached since a time."""
        return any(
            self._reached.get(replica.address, NEVER) >= since
            for replica in replicas
        )

    def is_doubtful(
        self, failed: Replica, listed: Iterable[Replica], now: float
    ) -> bool:
        """Whether a failure may be due to the links of this node.

        It may if several replicas failed and none was reached since the first
        of these failures, in the group of the replica or in its service.

        :param failed: the replica that failed last.
        :param listed: the replicas of its service.
        """
        service = list(listed)
        group = [
            replica
            for replica in service
            if get_group(replica) == get_group(failed)
        ]
        return self._are_doubtful(group, now) or self._are_doubtful(
            service, now
        )

    def list_failing(
        self, groups: Mapping[LinkGroup, Iterable[Replica]], now: float
    ) -> list[LinkGroup]:
        """List the groups of which a replica has failed of late."""
        return [
            group
            for group, replicas in groups.items()
            if any(
                self.has_failed(replica.address, now - WINDOW_SECONDS)
                for replica in replicas
            )
        ]

    def keep(self, addresses: Container[str]) -> None:
        """Forget all but the given addresses."""
        self._reached = {
            address: at
            for address, at in self._reached.items()
            if address in addresses
        }
        self._failed = {
            address: at
            for address, at in self._failed.items()
            if address in addresses
        }

    def _are_doubtful(self, replicas: list[Replica], now: float) -> bool:
        failures = [
            at
            for replica in replicas
            if (at := self._failed.get(replica.address, NEVER))
            > now - WINDOW_SECONDS
        ]
        if len(failures) < MIN_FAILED:
            return False
        return not self.was_reached(replicas, min(failures))
