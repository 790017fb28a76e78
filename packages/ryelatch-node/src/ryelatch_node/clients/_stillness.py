"""Finds connections that stand still, whichever timer they have lost."""

from dataclasses import dataclass

FLUSH_SECONDS = 5.0
"""Time for a client to read the rest of its answer after the close."""


@dataclass(eq=False)
class StillnessMeter:
    """For how long one connection has stood still.

    :param idle_since: when it last had a request in progress.
    :param unsent: bytes that its client hasn't taken.
    :param unsent_since: since when there are that many, or none.
    :param closing_since: when it was found to be closing.
    """

    idle_since: float
    unsent: int = 0
    unsent_since: float = 0
    closing_since: float | None = None

    def has_stuck_output(self, now: float, unsent: int, limit: float) -> bool:
        """Whether its client has read nothing for too long.

        :param unsent: bytes that the client hasn't taken.
        :param limit: in seconds.
        """
        if unsent != self.unsent or not unsent:
            self.unsent_since = now
        self.unsent = unsent
        return now - self.unsent_since > limit

    def is_stuck_closing(self, now: float) -> bool:
        """Whether its close has waited for the client for too long."""
        if self.closing_since is None:
            self.closing_since = now
        return now - self.closing_since > FLUSH_SECONDS

    def is_idle(self, now: float, limit: float) -> bool:
        """Whether it has had no request for too long.

        :param limit: in seconds.
        """
        return now - self.idle_since > limit
