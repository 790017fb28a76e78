"""Lease objects that can't be decoded, or were written by others."""

from typing import Any

import msgspec
import pytest
from result import Ok

from fake_clock import FakeClock
from ryelatch_core.eras import StoreRevision
from ryelatch_core.events import LineLog
from ryelatch_core.membership import Lease
from ryelatch_node.peer_sync import StoreUpdate
from ryelatch_node.placement import LeaseManager
from ryelatch_platform._kinds import follow_leases
from ryelatch_platform._leases import LEASE_NAME, make_leases
from ryelatch_platform._responses import Metadata, StoredObject
from ryelatch_platform._store import Response

_ERA = 1
_UPDATE = StoreUpdate(StoreRevision(_ERA, 9), 100)
_HELD = b'{"holder":"node-b","fence":7,"after":3}'
_UNREADABLE = [b'null', b'{"holder":1}', b'"\xff"', b'[' * 5000]


class _Store:
    """A store whose object of the lease is whatever was written to it."""

    def __init__(self, spec: bytes) -> None:
        self.stored = StoredObject(Metadata(LEASE_NAME, 9), msgspec.Raw(spec))

    async def write(
        self,
        _kind: str,
        _name: str,
        spec: Any,
        revision: StoreRevision | None,
    ) -> Any:
        """Replace the object if it has the expected revision."""
        number = self.stored.metadata.revision
        expected = StoreRevision(_ERA, number) if number else None
        if revision == expected:
            content = msgspec.Raw(msgspec.json.encode(spec))
            self.stored = StoredObject(
                Metadata(LEASE_NAME, _UPDATE.at.number + 1), content
            )
        return Ok(Response(self.stored, _ERA))

    async def get(self, _: str) -> Any:
        """Return the object."""
        return Ok(Response(self.stored, _ERA))


def _make_manager(store: Any) -> LeaseManager:
    return LeaseManager(
        LineLog('node-a', FakeClock(), len),
        FakeClock(),
        make_leases(store),
        0,
        'node-a',
    )


@pytest.mark.parametrize('spec', _UNREADABLE)
async def test_unreadable_lease_is_replaced(spec: bytes) -> None:
    """An object that can't be decoded keeps all nodes from the lease."""
    store = _Store(spec)
    manager = _make_manager(store)
    log = LineLog('node-a', FakeClock(), len)
    follow_leases(log, manager).replace([store.stored], _UPDATE, 0)
    assert log.counts['configuration-refused'] == 1
    assert await manager.acquire(110, 100)


async def test_lease_is_taken_beside_foreign_object() -> None:
    """An object of another name keeps all nodes from the first lease."""
    store = _Store(b'null')
    store.stored = StoredObject(Metadata(LEASE_NAME, 0))
    manager = _make_manager(store)
    foreign = StoredObject(Metadata('x-1', 4), msgspec.Raw(_HELD))
    log = LineLog('node-a', FakeClock(), len)
    follow_leases(log, manager).replace([foreign], _UPDATE, 0)
    assert await manager.acquire(110, 100)


async def test_unreadable_lease_lowers_no_fence() -> None:
    """Replicas refuse the commands of the next holder as those of a former."""
    store = _Store(b'null')
    manager = _make_manager(store)
    kind = follow_leases(LineLog('node-a', FakeClock(), len), manager)
    kind.put(StoredObject(Metadata(LEASE_NAME, 8), msgspec.Raw(_HELD)), _UPDATE)
    kind.put(store.stored, _UPDATE)
    assert await manager.acquire(200, 100)
    assert manager.fence == 8


@pytest.mark.parametrize('spec', _UNREADABLE)
async def test_unreadable_outcome_raises_nothing(
    spec: bytes,
) -> None:
    """The outcome of a write ends the task that places layers."""
    leases = make_leases(_Store(spec))  # type: ignore[arg-type]
    written = await leases.write(Lease('node-a', 1), StoreRevision(_ERA, 5))
    assert written is not None
    assert written.lease is None
    assert written.revision == StoreRevision(_ERA, 9)
