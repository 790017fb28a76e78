"""Detects pauses of this process, which make other processes seem late."""

from dataclasses import dataclass

LATE_SECONDS = 0.1
"""Delay of this process beyond which it can't evaluate others by timeouts.

A timer is a few milliseconds late at most on a VM with enough processor time.
If the process pauses, it may read a response that arrived in time only after
the timeout of the request.
"""


def ran_late(due: float, now: float) -> bool:
    """Return whether something due at a time runs too late to rely on."""
    return now - due > LATE_SECONDS


@dataclass(eq=False)
class LagMeter:
    """Records when a periodic task of this process ran late.

    Without it, a node short of processor time would take a report that it
    read late for a lost replica, and cut off the streams through that replica.
    """

    _late_at: float = float('-inf')
    _late_by: float = 0

    def record(self, due: float, now: float) -> bool:
        """Record that something due at a time runs now.

        :returns: whether that is late.
        """
        late = ran_late(due, now)
        if late:
            self._late_at = now
            self._late_by = now - due
        return late

    def was_late(self, since: float) -> bool:
        """Return whether this process has paused since a time."""
        return self._late_at >= since

    def find_pause(self, since: float) -> float:
        """Return how long this process paused last, if it has since a time.

        :returns: seconds; 0 if it hasn't.
        """
        return self._late_by if self.was_late(since) else 0
