"""Decides which upstreams may get new work, from several delayed sources."""

from collections.abc import Iterable
from dataclasses import dataclass, replace


@dataclass(frozen=True)
class Vm:
    """A VM as the platform lists it.

    :param role: ``node``, ``engine``, or the role of a non-model service.
    :param address: ``host:port``.
    :param leaving: whether the VM is about to stop.
    """

    name: str
    role: str
    address: str
    zone: str
    leaving: bool = False


@dataclass(frozen=True)
class Member:
    """A VM and what each source reports about it.

    :param announced: whether the VM itself has announced that it leaves.
    :param reported_by: names of peers that learned, from the VM or the
        platform, that it leaves.
    :param missing: number of consecutive lists without the VM.
    """

    vm: Vm
    announced: bool = False
    reported_by: frozenset[str] = frozenset()
    missing: int = 0

    @property
    def leaving(self) -> bool:
        """Whether the VM is leaving and must not get new work.

        The platform's list lags by seconds, and an upstream's announcement
        reaches only the nodes connected to it. One source is enough: work
        sent to an upstream that leaves is cut off, while work withheld from
        one that stays goes elsewhere.
        """
        return self.vm.leaving or self.announced or bool(self.reported_by)


@dataclass(frozen=True)
class RosterChange:
    """What a new list has changed.

    :param joined: VMs that are new or have another address.
    :param left: names of VMs that were dropped.
    :param leaving: names of VMs that are now known to be leaving.
    """

    joined: tuple[Vm, ...] = ()
    left: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()


_MAX_MISSING_LISTS = 3
"""Consecutive lists without a VM after which it is dropped."""


class Roster:
    """All VMs of the fleet, merged from all sources."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}

    def apply_list(
        self,
        vms: Iterable[Vm],
        *,
        settled: bool = False,
    ) -> RosterChange:
        """Apply a list of the platform.

        A list can lack a VM for a moment, as it lags, so a member is dropped
        only after several lists without it.

        :param settled: whether a missing VM is dropped at once, as the list
            comes from a peer that has waited for several lists already.
        """
        listed = {vm.name: vm for vm in vms}
        joined = [vm for vm in listed.values() if self._is_new(vm)]
        leaving = [
            vm.name
            for vm in listed.values()
            if vm.leaving and not self._is_leaving(vm.name)
        ]
        for vm in listed.values():
            known = None if self._is_new(vm) else self.members[vm.name]
            self.members[vm.name] = (
                replace(known, vm=vm, missing=0) if known else Member(vm)
            )
        left = tuple(
            name
            for name in self.members
            if name not in listed and (settled or self._count_missing(name))
        )
        for name in left:
            del self.members[name]
        return RosterChange(tuple(joined), left, tuple(leaving))

    def record_leaving(self, name: str) -> bool:
        """Record a VM's announcement that it leaves.

        :returns: whether the VM was not known to be leaving.
        """
        member = self.members.get(name)
        if member is None:
            return False
        self.members[name] = replace(member, announced=True)
        return not member.leaving

    def record_staying(self, name: str) -> None:
        """Record a VM's announcement, after a restart, that it stays."""
        member = self.members.get(name)
        if member is not None:
            self.members[name] = replace(member, announced=False)

    def apply_peer(self, peer: str, names: Iterable[str]) -> tuple[str, ...]:
        """Apply a peer's report of all VMs that it knows to be leaving.

        A peer reports only what it learned from the VM or the platform, not
        what other peers report: two peers would keep confirming each other
        after the VM has come back.

        :returns: names of VMs that were not known to be leaving.
        """
        reported = frozenset(names)
        newly_leaving = tuple(
            name
            for name, member in self.members.items()
            if name in reported and not member.leaving
        )
        for name, member in self.members.items():
            if name in reported:
                peers = member.reported_by | {peer}
            else:
                peers = member.reported_by - {peer}
            self.members[name] = replace(member, reported_by=peers)
        return newly_leaving

    def list_leaving(self) -> tuple[str, ...]:
        """List the VMs that leave by their own announcement or the platform's.

        :returns: the names to report to peers.
        """
        return tuple(
            name
            for name, member in self.members.items()
            if member.announced or member.vm.leaving
        )

    def list_role(self, role: str) -> list[Vm]:
        """List the VMs of a role that may get new work."""
        return [
            member.vm
            for member in self.members.values()
            if member.vm.role == role and not member.leaving
        ]

    def _is_new(self, vm: Vm) -> bool:
        known = self.members.get(vm.name)
        return known is None or known.vm.address != vm.address

    def _is_leaving(self, name: str) -> bool:
        member = self.members.get(name)
        return member is not None and member.leaving

    def _count_missing(self, name: str) -> bool:
        """Count a list without a member; tell whether the limit is reached."""
        member = self.members[name]
        if member.missing + 1 < _MAX_MISSING_LISTS:
            self.members[name] = replace(member, missing=member.missing + 1)
            return False
        return True
