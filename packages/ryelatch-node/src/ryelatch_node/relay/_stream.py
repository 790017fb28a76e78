"""A stream in progress, as this node knows it."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from ryelatch_core.fleet import Replica, Stage
from ryelatch_core.quarantine import CRASH_WINDOW_SECONDS
from ryelatch_node.relay._exchange import Exchange, AdmittedRequest

FIRST_REPLICA_LOST = 'first replica lost'
"""Why a stream was interrupted whose first replica is gone."""


@dataclass(eq=False)
class LiveStream:
    """A stream in progress.

    :param sent: when it was sent on its first path of this try.
    :param progress: when its last event came, or it was sent or moved.
    :param tokens: for which memory is taken on its path.
    :param told: whether its pause has been recorded.
    :param delayed_by_loss: whether it waited for a replica that was lost.
    :param move_attempts: moves tried while it was flowing; the last at ``last_move_attempt``.
    :param answered: whether the head of its answer has come.
    :param first_event: when its first event came, in monotonic seconds.
    :param cleared: whether it is known not to end the replicas that run it.
    :param finished: whether its reading has ended.
    :param scope: the timeout of its reading; moved up to interrupt it.
    """

    exchange: Exchange
    request: AdmittedRequest
    path: tuple[Stage, ...]
    sent: float
    progress: float
    tokens: int
    scope: asyncio.Timeout
    answered: bool = False
    first_event: float | None = None
    begun: bool = False
    cleared: bool = False
    moving: bool = False
    finished: bool = False
    told: bool = False
    delayed_by_loss: bool = False
    reason: str = ''
    delivered: int = 0
    move_attempts: int = 0
    last_move_attempt: float = 0

    @property
    def head(self) -> Replica:
        """The first replica of its path."""
        return self.path[0].replica

    @property
    def crosses(self) -> bool:
        """Whether its path changes availability zones already."""
        return len({stage.replica.zone for stage in self.path}) > 1

    def ran(self, now: float) -> bool:
        """Whether it has run for too long to be why its replica ended.

        From its first event on: a slow replica may take long to begin.
        """
        first = self.first_event
        return first is not None and now - first >= CRASH_WINDOW_SECONDS

    def interrupt(self, reason: str) -> None:
        """End its reading, so that it goes on elsewhere.

        Nothing is left to end where it has ended while an order to move it
        was on its way.
        """
        if not self.reason and not self.finished:
            self.reason = reason
            self.scope.reschedule(asyncio.get_running_loop().time())

    def uses(self, names: Iterable[str]) -> bool:
        """Whether its path has one of some replicas."""
        wanted = set(names)
        return any(stage.replica.name in wanted for stage in self.path)
