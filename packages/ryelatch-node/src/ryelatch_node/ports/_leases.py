"""Interface to the store of leases."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ryelatch_core.eras import StoreRevision
from ryelatch_core.membership import Lease


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """A lease as the store holds it.

    :param lease: nothing if there is no record, or if what the store holds is
        no lease.
    :param revision: revision of the record. Of several writes that require
        the same revision, only one succeeds. Without a record, it is one at
        which the store had none.
    :param after: revision that this record replaced; nothing if there was no
        record.
    :param is_invalid: whether the store holds an object that is no lease. A
        write replaces it.
    """

    lease: Lease | None
    revision: StoreRevision
    after: StoreRevision | None = None
    is_invalid: bool = False

    @property
    def expected(self) -> StoreRevision | None:
        """Revision that a write in its place requires; nothing to create."""
        is_missing = self.lease is None and not self.is_invalid
        return None if is_missing else self.revision


@dataclass(frozen=True)
class LeaseStore:
    """Conditional writes of the placement lease.

    Changes of the record reach the placement controller by another way, from
    the component that watches the store.
    """

    write: Callable[
        [Lease, StoreRevision | None], Awaitable[LeaseRecord | None]
    ]
    """Write a lease if the record still has a revision.

    Results in the record then stored, which may be another node's; nothing if
    the outcome is unknown.
    """
