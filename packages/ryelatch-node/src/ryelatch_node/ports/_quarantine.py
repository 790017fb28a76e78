"""Where ends of replicas are kept for all nodes."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ryelatch_core.quarantine import StoredCrashes, StoreWrite


@dataclass(frozen=True, slots=True)
class StoreWriteResult:
    """What became of a write.

    :param answered: whether the store answered; else it may have taken
        effect, or may yet.
    :param stored: what it then holds, this or another node's; nothing if
        there is no such object.
    """

    answered: bool
    stored: StoredCrashes | None = None


@dataclass(frozen=True)
class QuarantineStore:
    """Conditional writes of what is known of a request.

    Whoever follows the store tells of each change, this node's included.
    """

    apply_write: Callable[[StoreWrite], Awaitable[StoreWriteResult]]
    """Make the store hold, or delete, what the step says."""
