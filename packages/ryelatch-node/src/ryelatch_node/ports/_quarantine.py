"""Interface to the store of crash counts, shared by all nodes."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

from ryelatch_core.quarantine import StoredCrashes, StoreWrite


@dataclass(frozen=True, slots=True)
class StoreWriteResult:
    """Result of a write.

    :param answered: whether the store responded; otherwise the write may
        have taken effect, or may do so later.
    :param stored: object then in the store, which may be another node's;
        nothing if there is none.
    :param written: whether it is what this write has stored.
    """

    answered: bool
    stored: StoredCrashes | None = None
    written: bool = False


ReadAll = Callable[[], Awaitable[Iterable[StoredCrashes] | None]]


async def _read_nothing() -> None:
    """Read nothing, as there is no store."""


@dataclass(frozen=True)
class QuarantineStore:
    """Conditional writes of the crashes counted for a request.

    Changes, including those made by this node, are reported by the component
    that watches the store.
    """

    apply_write: Callable[[StoreWrite], Awaitable[StoreWriteResult]]
    """Create, replace or delete the object, if it is unchanged."""

    is_current: Callable[[], bool] = lambda: True
    """Whether the changes made by other nodes reach this node at once."""

    read_all: ReadAll = _read_nothing
    """Read all objects now; ``None`` if the store did not respond."""
