"""Interface to the store of leases."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ryelatch_core.membership import Lease


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """A lease as the store holds it.

    :param lease: nothing if it was never held, or if what the store holds is no
        lease.
    :param revision: revision of the record. Of several writes that require
        the same revision, only one succeeds.
    :param after: revision that this record replaced.
    """

    lease: Lease | None
    revision: int
    after: int = 0


@dataclass(frozen=True)
class LeaseStore:
    """Conditional writes of the placement lease.

    Changes of the record reach the placement controller by another way, from
    the component that watches the store.
    """

    write: Callable[[Lease, int], Awaitable[LeaseRecord | None]]
    """Write a lease if the record still has a revision.

    Results in the record then stored, which may be another node's; nothing if
    the outcome is unknown.
    """
