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
    """Conditional writes of the one lease of a duty.

    Whoever follows the store tells the duty of each change of the record.
    """

    write: Callable[[Lease, int], Awaitable[LeaseRecord | None]]
    """What the store then holds, this or another's; nothing if unknown."""
