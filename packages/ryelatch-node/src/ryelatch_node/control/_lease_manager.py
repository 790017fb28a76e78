"""Leases on tasks, as records in the store."""

from dataclasses import dataclass

import msgspec

from ryelatch_core.events import Timeline, catalogue
from ryelatch_core.kernel import Clock
from ryelatch_core.membership import (
    COMMAND_TIMEOUT_SECONDS,
    Lease,
    may_send_command,
    release_lease,
    take_lease,
)
from ryelatch_node.store import Entry, Store


@dataclass(frozen=True)
class HeldLease:
    """A lease that this node holds according to its view.

    :param version: of the record in the store, for conditional writes.
    :param renewed: when the last successful write was started, in monotonic
        seconds.
    :param taken: monotonic seconds after which the previous holder can't have
        sent a command; one sent before may still be in progress.
    """

    lease: Lease
    version: str
    renewed: float
    taken: float


@dataclass(frozen=True)
class _ObservedVersion:
    """The last version of another node's lease that this node has read.

    :param since: when it was first read, in monotonic seconds.
    """

    version: str
    since: float


class LeaseManager:
    """Takes, renews and releases leases.

    :param name: name of this node, as the holder of its leases.
    :ivar held: the leases that this node holds, by task.
    """

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
        """Take or renew a lease; return whether this node holds it now."""
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
        """Renew a lease, which also proves that no other node has taken it."""
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
        """Release a lease if this node holds it."""
        held = self.held.pop(task, None)
        if held is not None:
            body = _encode(release_lease(held.lease))
            await self._store.update(_key(task), body, held.version)
            self._timeline.record(
                catalogue.LEASE_LOST, duty=task, reason='released'
            )

    def may_send_command(self, task: str) -> bool:
        """Return whether a command may be sent under a lease now."""
        held = self.held.get(task)
        if held is None:
            return False
        return may_send_command(
            held.renewed, held.taken, self._clock.monotonic()
        )

    def _measure_unchanged(
        self, task: str, entry: Entry | None, now: float
    ) -> float:
        """Compute the seconds for which this node saw a lease unchanged."""
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
        # Only a holder whose lease expired may have a command in progress; one
        # that released the lease has waited for its commands to finish.
        expired = entry is not None and not _decode(entry).released
        taken = (
            self._clock.monotonic()
            if expired
            else started - COMMAND_TIMEOUT_SECONDS
        )
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
