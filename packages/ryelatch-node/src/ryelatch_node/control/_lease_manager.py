"""Leases in the store."""

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
class Held:
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
class _Sighting:
    """A version of another's lease and since when it has stood."""

    version: str
    since: float


class LeaseManager:
    """Takes, proves, renews and gives back leases."""

    def __init__(
        self,
        store: Store,
        timeline: Timeline,
        clock: Clock,
        name: str,
    ) -> None:
        self.held: dict[str, Held] = {}
        self._store = store
        self._timeline = timeline
        self._clock = clock
        self._name = name
        self._seen: dict[str, _Sighting] = {}

    async def take(self, duty: str) -> bool:
        """Take a lease if nobody holds it; tell whether it is held now."""
        if duty in self.held:
            return await self.renew(duty)
        begun = self._clock.monotonic()
        found = await self._store.get(_key(duty))
        entry = found.ok()
        if entry is None and found.unwrap_err().value != 'missing':
            return False
        known = _decode(entry) if entry else None
        wanted = take_lease(known, self._name, self._note(duty, entry, begun))
        if wanted is None:
            return False
        return await self._write(duty, wanted, entry, begun)

    async def renew(self, duty: str) -> bool:
        """Renew a lease, which also proves that nobody else has taken it."""
        held = self.held[duty]
        begun = self._clock.monotonic()
        written = await self._store.update(
            _key(duty), _encode(held.lease), held.version
        )
        if written.is_err():
            self._lose(duty, written.unwrap_err().value)
            return False
        self.held[duty] = Held(
            held.lease, written.unwrap().version, begun, held.taken
        )
        return True

    async def release(self, duty: str) -> None:
        """Give a lease back."""
        held = self.held.pop(duty, None)
        if held is not None:
            body = _encode(release_lease(held.lease))
            await self._store.update(_key(duty), body, held.version)
            self._timeline.record(
                catalogue.LEASE_LOST, duty=duty, reason='released'
            )

    def may_send_command(self, duty: str) -> bool:
        """Tell whether an order may be sent under a lease by now."""
        held = self.held.get(duty)
        if held is None:
            return False
        return may_send_command(
            held.renewed, held.taken, self._clock.monotonic()
        )

    def _note(self, duty: str, entry: Entry | None, now: float) -> float:
        """Note the version of a lease; seconds since it was first seen."""
        if entry is None:
            return 0
        seen = self._seen.get(duty)
        if seen is None or seen.version != entry.version:
            seen = _Sighting(entry.version, now)
            self._seen[duty] = seen
        return now - seen.since

    async def _write(
        self,
        duty: str,
        wanted: Lease,
        entry: Entry | None,
        begun: float,
    ) -> bool:
        body = _encode(wanted)
        if entry is None:
            written = await self._store.create(_key(duty), body)
        else:
            written = await self._store.update(_key(duty), body, entry.version)
        if written.is_err():
            return False
        # Only a holder that lapsed may have an order under way; one that gave
        # the lease back has waited for its own.
        lapsed = entry is not None and not _decode(entry).released
        taken = (
            self._clock.monotonic()
            if lapsed
            else begun - COMMAND_TIMEOUT_SECONDS
        )
        self.held[duty] = Held(wanted, written.unwrap().version, begun, taken)
        self._timeline.record(
            catalogue.LEASE_TAKEN, duty=duty, fence=wanted.fence
        )
        return True

    def _lose(self, duty: str, reason: str) -> None:
        del self.held[duty]
        self._timeline.record(catalogue.LEASE_LOST, duty=duty, reason=reason)


def _key(duty: str) -> str:
    return f'leases/{duty}'


def _encode(lease: Lease) -> bytes:
    return msgspec.msgpack.encode(lease)


def _decode(entry: Entry) -> Lease:
    return msgspec.msgpack.decode(entry.body, type=Lease)
