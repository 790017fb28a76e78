"""Leases in the store."""

from dataclasses import dataclass

import msgspec

from ryelatch_core.events import Timeline, catalogue
from ryelatch_core.kernel import Clock
from ryelatch_core.membership import (
    ORDER_SECONDS,
    Lease,
    may_order,
    release_lease,
    take_lease,
)
from ryelatch_node.store import Entry, Store


@dataclass(frozen=True)
class HeldLease:
    """A lease that this node believes to hold.

    :param renewed: monotonic seconds before the last write of it was begun.
    :param taken: monotonic seconds from which orders of an earlier holder
        could be under way.
    """

    lease: Lease
    version: str
    renewed: float
    taken: float


@dataclass(frozen=True)
class _ObservedVersion:
    """A version of another's lease and since when it has stood."""

    version: str
    since: float


class LeaseKeeper:
    """Takes, proves, renews and gives back leases."""

    def __init__(
        self,
        store: Store,
        timeline: Timeline,
        clock: Clock,
        name: str,
    ) -> None:
        self.held: dict[str, HeldLease] = {}
        self._store = store
        self._timeline = timeline
        self._clock = clock
        self._name = name
        self._observed: dict[str, _ObservedVersion] = {}

    async def take(self, task: str) -> bool:
        """Take a lease if nobody holds it; tell whether it is held now."""
        if task in self.held:
            return await self.renew(task)
        started = self._clock.monotonic()
        found = await self._store.get(_key(task))
        entry = found.ok()
        if entry is None and found.unwrap_err().value != 'missing':
            return False
        current = _decode(entry) if entry else None
        new_lease = take_lease(
            current, self._name, self._measure_unchanged(task, entry, started)
        )
        if new_lease is None:
            return False
        return await self._write(task, new_lease, entry, started)

    async def renew(self, task: str) -> bool:
        """Renew a lease, which also proves that nobody else has taken it."""
        held = self.held[task]
        started = self._clock.monotonic()
        written = await self._store.update(
            _key(task), _encode(held.lease), held.version
        )
        if written.is_err():
            self._drop(task, written.unwrap_err().value)
            return False
        self.held[task] = HeldLease(
            held.lease, written.unwrap().version, started, held.taken
        )
        return True

    async def release(self, task: str) -> None:
        """Give a lease back."""
        held = self.held.pop(task, None)
        if held is not None:
            body = _encode(release_lease(held.lease))
            await self._store.update(_key(task), body, held.version)
            self._timeline.record(
                catalogue.LEASE_LOST, duty=task, reason='released'
            )

    def may_order(self, task: str) -> bool:
        """Tell whether an order may be sent under a lease by now."""
        held = self.held.get(task)
        if held is None:
            return False
        return may_order(held.renewed, held.taken, self._clock.monotonic())

    def _measure_unchanged(
        self, task: str, entry: Entry | None, now: float
    ) -> float:
        """Note the version of a lease; seconds since it was first seen."""
        if entry is None:
            return 0
        observed = self._observed.get(task)
        if observed is None or observed.version != entry.version:
            observed = _ObservedVersion(entry.version, now)
            self._observed[task] = observed
        return now - observed.since

    async def _write(
        self,
        task: str,
        new_lease: Lease,
        entry: Entry | None,
        started: float,
    ) -> bool:
        body = _encode(new_lease)
        if entry is None:
            written = await self._store.create(_key(task), body)
        else:
            written = await self._store.update(_key(task), body, entry.version)
        if written.is_err():
            return False
        # Only a holder that lapsed may have an order under way; one that gave
        # the lease back has waited for its own.
        expired = entry is not None and not _decode(entry).released
        taken = self._clock.monotonic() if expired else started - ORDER_SECONDS
        self.held[task] = HeldLease(
            new_lease, written.unwrap().version, started, taken
        )
        self._timeline.record(
            catalogue.LEASE_TAKEN, duty=task, fence=new_lease.fence
        )
        return True

    def _drop(self, task: str, reason: str) -> None:
        del self.held[task]
        self._timeline.record(catalogue.LEASE_LOST, duty=task, reason=reason)


def _key(task: str) -> str:
    return f'leases/{task}'


def _encode(lease: Lease) -> bytes:
    return msgspec.msgpack.encode(lease)


def _decode(entry: Entry) -> Lease:
    return msgspec.msgpack.decode(entry.body, type=Lease)
