"""Whether this process itself was late, so that others only seemed to be."""

from dataclasses import dataclass

LATE_SECONDS = 0.1
"""Lateness of this process beyond which it was no judge of others.

A timer is a few milliseconds late at most on a VM that has its processor. An
answer that came in time is read after its timeout has struck when the process
stood still for as long as the timeout was meant to leave.
"""


def ran_late(due: float, now: float) -> bool:
    """Whether something that was due at a time runs too late to judge by."""
    return now - due > LATE_SECONDS


@dataclass(eq=False)
class LagMeter:
    """Notes when a regular task of this process ran late.

    A node without processor time took its own late reading of a report for a
    lost replica, and cut off the streams that flowed through it.
    """

    _late_at: float = float('-inf')

    def record(self, due: float, now: float) -> bool:
        """Note that something which was due at a time runs now.

        :returns: whether that is late.
        """
        late = ran_late(due, now)
        if late:
            self._late_at = now
        return late

    def was_late(self, since: float) -> bool:
        """Whether this process stood still since some time."""
        return self._late_at >= since
