"""Where leases on duties are kept."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ryelatch_core.membership import Lease


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """A lease as the store holds it.

    :param lease: nothing if nobody ever held it.
    :param revision: of the record; a write under the condition that it is
        unchanged succeeds once.
    :param after: the revision that this record replaced.
    """

    lease: Lease | None
    revision: int
    after: int = 0


@dataclass(frozen=True)
class LeaseStore:
    """Conditional reads and writes of the one lease of a duty."""

    read: Callable[[], Awaitable[LeaseRecord | None]]
    """Nothing if the store gave no answer."""

    write: Callable[[Lease, int], Awaitable[LeaseRecord | None]]
    """The new record, or nothing if it was lost, refused or unanswered."""
