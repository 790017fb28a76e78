"""Which upstreams may get new work, from several late views."""

from collections.abc import Iterable
from dataclasses import dataclass, replace


@dataclass(frozen=True)
class Vm:
    """A VM as the platform lists it.

    :param role: ``node``, ``engine``, or the role of a plain service.
    :param address: ``host:port``.
    """

    name: str
    role: str
    address: str
    zone: str
    leaving: bool = False


@dataclass(frozen=True)
class Member:
    """What is known of one VM.

    :param said: it said itself that it leaves.
    :param told: peers that know first-hand that it leaves.
    :param missing: consecutive lists without it.
    """

    vm: Vm
    said: bool = False
    told: frozenset[str] = frozenset()
    missing: int = 0

    @property
    def leaving(self) -> bool:
        """Whether new work must not go there.

        The list of the platform lags by seconds, and an upstream's own word
        reaches only the nodes connected to it. One source is enough: work
        sent to an upstream that leaves is cut off, work that is kept from
        one that stays goes elsewhere.
        """
        return self.vm.leaving or self.said or bool(self.told)


@dataclass(frozen=True)
class RosterChange:
    """What a new list changes."""

    joined: tuple[Vm, ...] = ()
    left: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()


_MISSING_LIMIT = 3


class Roster:
    """The merged view of all VMs."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}

    def apply_list(
        self,
        vms: Iterable[Vm],
        *,
        settled: bool = False,
    ) -> RosterChange:
        """Take in a list of the platform.

        A list can lack a VM for a moment, as it lags; a member is dropped
        only after several lists without it.

        :param settled: the list comes from a peer that has waited already.
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
            if name not in listed and (settled or self._miss(name))
        )
        for name in left:
            del self.members[name]
        return RosterChange(tuple(joined), left, tuple(leaving))

    def record_leaving(self, name: str) -> bool:
        """Note a VM's own word that it leaves; tell whether that was news."""
        member = self.members.get(name)
        if member is None:
            return False
        self.members[name] = replace(member, said=True)
        return not member.leaving

    def record_staying(self, name: str) -> None:
        """Note a VM's own word, after a restart, that it stays."""
        member = self.members.get(name)
        if member is not None:
            self.members[name] = replace(member, said=False)

    def apply_peer(self, peer: str, names: Iterable[str]) -> tuple[str, ...]:
        """Take in all VMs that a peer knows first-hand to be leaving.

        Second-hand word is not passed on: two peers would keep it alive
        between them after the VM has come back.

        :returns: the names that were news.
        """
        told = frozenset(names)
        news = tuple(
            name
            for name, member in self.members.items()
            if name in told and not member.leaving
        )
        for name, member in self.members.items():
            if name in told:
                peers = member.told | {peer}
            else:
                peers = member.told - {peer}
            self.members[name] = replace(member, told=peers)
        return news

    def list_leaving(self) -> tuple[str, ...]:
        """Name the VMs known first-hand to be leaving."""
        return tuple(
            name
            for name, member in self.members.items()
            if member.said or member.vm.leaving
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

    def _miss(self, name: str) -> bool:
        member = self.members[name]
        if member.missing + 1 < _MISSING_LIMIT:
            self.members[name] = replace(member, missing=member.missing + 1)
            return False
        return True
