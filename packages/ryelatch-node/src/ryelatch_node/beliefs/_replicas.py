"""The replicas that the registry lists, and what this node saw of them."""

from collections.abc import Iterable
from dataclasses import dataclass

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.fleet import (
    FULL_SECONDS,
    UNREACHABLE_SECONDS,
    Replica,
    Suspects,
)
from ryelatch_core.kernel import Clock, Hub

RETURN_SECONDS = 2.0
"""Time in which entries come back that lapsed while the store was away."""


@dataclass(frozen=True)
class ReplicasChanged:
    """The list of replicas, or what is suspected of them, is another."""


class ReplicaView:
    """Replicas by name."""

    def __init__(self, log: LineLog, clock: Clock, hub: Hub) -> None:
        self.replicas: dict[str, Replica] = {}
        self.listed = False
        self._log = log
        self._clock = clock
        self._hub = hub
        self._suspects = Suspects()
        self._unreachable = Suspects()
        self._lapsed: dict[str, float] = {}

    def replace(self, listed: Iterable[Replica], *, outage: bool) -> None:
        """Take a whole list.

        :param outage: whether the store was away just before. Entries lapse
            meanwhile though their replicas serve on; dropping them at once
            would leave no upstream at all. They are kept for the time in
            which those that live come back.
        """
        fresh = {replica.name: replica for replica in listed}
        for name in set(self.replicas) - set(fresh):
            self._let_go(name, outage=outage)
        for replica in fresh.values():
            self._put(replica)
        self.listed = True
        self._suspects.keep(self.replicas)
        self._unreachable.keep(self.replicas)
        self._hub.emit(ReplicasChanged())

    def put(self, replica: Replica) -> None:
        """Take an entry that is new or has changed."""
        self._put(replica)
        self._hub.emit(ReplicasChanged())

    def remove(self, name: str, *, outage: bool) -> None:
        """Take note that an entry has gone.

        :param outage: whether the store was away just before.
        """
        if name in self.replicas:
            self._let_go(name, outage=outage)
            self._hub.emit(ReplicasChanged())

    def drop_lapsed(self) -> None:
        """Drop the entries that did not come back in time."""
        now = self._clock.monotonic()
        due = [name for name, until in self._lapsed.items() if until <= now]
        for name in due:
            self._drop(name)
        if due:
            self._hub.emit(ReplicasChanged())

    def list_service(self, service: str) -> list[Replica]:
        """List the replicas of a service that may get new work."""
        return [
            replica
            for replica in self.replicas.values()
            if replica.service == service and not replica.leaving
        ]

    def list_alive(self, service: str) -> list[Replica]:
        """List the replicas of a service that aren't taken to be lost."""
        lost = self.list_unreachable()
        return [
            replica
            for replica in self.list_service(service)
            if replica.name not in lost
        ]

    def find_address(self, address: str) -> Replica | None:
        """Find the replica that has an address now."""
        found = (
            replica
            for replica in self.replicas.values()
            if replica.address == address
        )
        return next(found, None)

    def list_suspects(self) -> frozenset[str]:
        """List the names of replicas to avoid."""
        return self._suspects.list_names(self._clock.monotonic())

    def list_unreachable(self) -> frozenset[str]:
        """List the names of replicas that are taken to be lost."""
        return self._unreachable.list_names(self._clock.monotonic())

    def suspect(self, replica: Replica, reason: str, *, full: bool) -> None:
        """Keep away from a replica for a while.

        :param full: whether it only had no room.
        """
        seconds = FULL_SECONDS if full else UNREACHABLE_SECONDS
        until = self._clock.monotonic() + seconds
        if not full:
            self._unreachable.add(replica.name, until)
        if self._suspects.add(replica.name, until):
            self._log.record(
                catalogue.REPLICA_SUSPECTED,
                replica=replica.name,
                address=replica.address,
                reason=reason,
                seconds=seconds,
            )
            self._hub.emit(ReplicasChanged())

    def trust(self, replica: Replica) -> None:
        """Take back a suspicion after an answer."""
        self._suspects.clear(replica.name)
        self._unreachable.clear(replica.name)

    def _put(self, replica: Replica) -> None:
        self._lapsed.pop(replica.name, None)
        if self.replicas.get(replica.name) == replica:
            return
        self.replicas[replica.name] = replica
        held = replica.layers
        self._log.record(
            catalogue.REPLICA_LEAVING
            if replica.leaving
            else catalogue.REPLICA_LISTED,
            replica=replica.name,
            address=replica.address,
            zone=replica.zone,
            accelerator=replica.accelerator,
            layers=[held.first, held.end] if held else None,
        )

    def _let_go(self, name: str, *, outage: bool) -> None:
        if outage and not self.replicas[name].leaving:
            if name not in self._lapsed:
                self._log.record(catalogue.REPLICA_LAPSED, replica=name)
            until = self._clock.monotonic() + RETURN_SECONDS
            self._lapsed.setdefault(name, until)
        else:
            self._drop(name)

    def _drop(self, name: str) -> None:
        self._lapsed.pop(name, None)
        if self.replicas.pop(name, None) is not None:
            self._log.record(catalogue.REPLICA_GONE, replica=name)
