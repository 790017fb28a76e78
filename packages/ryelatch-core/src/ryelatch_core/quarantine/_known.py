"""What a node knows about one request under which replicas crashed."""

from dataclasses import dataclass

from ryelatch_core.quarantine._case import NO_CASE, Case, StoredCase


@dataclass(frozen=True, slots=True)
class CrashState:
    """Crashes under one request, seen by this node or read from the store.

    :param local: crashes that this node has seen, or has to write again.
    :param stored: the object in the store, if there is one.
    :param changed: monotonic seconds of the last change.
    :param due: monotonic seconds from which local crashes are written.
    """

    local: Case = NO_CASE
    stored: StoredCase | None = None
    changed: float = 0
    due: float = 0

    @property
    def shared(self) -> Case:
        """Crashes that the store holds."""
        return self.stored.case if self.stored else NO_CASE

    @property
    def case(self) -> Case:
        """All known crashes."""
        return self.local.merge(self.shared)
