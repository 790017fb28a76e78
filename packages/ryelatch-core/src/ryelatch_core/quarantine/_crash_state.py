"""What a node knows about one possible cause of crashes."""

from dataclasses import dataclass

from ryelatch_core.quarantine._crashes import NO_CRASHES, Crashes, StoredCrashes


@dataclass(frozen=True, slots=True)
class CrashState:
    """Crashes under one key, seen by this node or read from the store.

    :param local: crashes that this node has seen, or has to write again.
    :param stored: the object in the store, if there is one.
    :param changed: monotonic seconds of the last change.
    :param due: monotonic seconds from which local crashes are written.
    """

    local: Crashes = NO_CRASHES
    stored: StoredCrashes | None = None
    changed: float = 0
    due: float = 0

    @property
    def shared(self) -> Crashes:
        """Crashes that the store holds."""
        return self.stored.crashes if self.stored else NO_CRASHES

    @property
    def crashes(self) -> Crashes:
        """All known crashes."""
        return self.local.merge(self.shared)

    @property
    def crash_bound(self) -> int:
        """Upper bound of the number of crashes, which costs less than it."""
        bound = len(self.local.begun) + len(self.local.waiting)
        if self.stored:
            shared = self.stored.crashes
            bound += len(shared.begun) + len(shared.waiting)
        return bound
