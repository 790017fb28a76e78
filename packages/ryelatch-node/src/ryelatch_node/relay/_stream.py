"""The state that a node holds about one stream in progress."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ryelatch_core.fleet import Replica, Stage
from ryelatch_core.quarantine import CRASH_WINDOW_SECONDS
from ryelatch_core.streams import EventSplitter
from ryelatch_node.relay._exchange import AdmittedRequest, Exchange

FIRST_REPLICA_LOST = 'first replica lost'
"""Reason of an interruption because the first replica has ended."""

OVERTAKEN = 'overtaken'
"""Reason of an interruption because another run of the request delivers."""

HEDGE_PAUSE_SECONDS = 0.3
"""Least time between two hedges of a run."""


def _start_no_hedge(_stream: 'LiveStream', _reason: str) -> None:
    """Start nothing, for runs that are never hedged."""


@dataclass(eq=False)
class LiveStream:
    """One attempt to stream an answer along a path of replicas.

    All times are in monotonic seconds.

    :param sent: when this attempt was sent to the first replica.
    :param progress: when the last event was passed on, or the stream was sent
        or moved if that was later.
    :param tokens: tokens whose KV cache is accounted for on the path.
    :param scope: the timeout around the reading of the answer; it is
        rescheduled to now to interrupt the stream.
    :param splitter: splits what arrives into events that the client lacks.
    :param start_hedge: starts another run beside this one, for a reason.
    :param hedged: whether such a run is in progress.
    :param next_hedge: when another one may be started.
    :param answered: whether the status and headers of the answer arrived.
    :param first_event: when the first event arrived.
    :param begun: whether the first event has arrived.
    :param cleared: whether the request has run long enough not to be the
        cause of a crash of its replicas.
    :param moving: whether a move to another path is in progress.
    :param writing: whether the client is sent what has arrived; it may have
        to read first.
    :param finished: whether the reading of the answer has finished.
    :param delay_reported: whether the controller of its zone was told that
        its first event is late.
    :param stall_recorded: whether the present pause has been logged.
    :param delayed_by_loss: whether the stream waited for a lost replica.
    :param reason: why the stream was interrupted; empty if it was not.
    :param delivered: events that arrived in this attempt.
    :param move_attempts: attempts to move the stream off leaving replicas.
    :param last_move_attempt: when the last move was attempted.
    """

    exchange: Exchange
    request: AdmittedRequest
    path: tuple[Stage, ...]
    sent: float
    progress: float
    tokens: int
    scope: asyncio.Timeout
    splitter: EventSplitter = field(default_factory=EventSplitter)
    start_hedge: Callable[['LiveStream', str], None] = _start_no_hedge
    hedged: bool = False
    next_hedge: float = 0
    answered: bool = False
    first_event: float | None = None
    begun: bool = False
    cleared: bool = False
    moving: bool = False
    writing: bool = False
    finished: bool = False
    delay_reported: bool = False
    stall_recorded: bool = False
    delayed_by_loss: bool = False
    reason: str = ''
    delivered: int = 0
    move_attempts: int = 0
    last_move_attempt: float = 0

    @property
    def first_replica(self) -> Replica:
        """The first replica of the path."""
        return self.path[0].replica

    @property
    def crosses(self) -> bool:
        """Whether the path has replicas in several availability zones."""
        return len({stage.replica.zone for stage in self.path}) > 1

    def has_run_long(self, now: float) -> bool:
        """Whether it has run too long to be the cause of a replica's crash.

        The time counts from the first event, because a slow replica may take
        long to produce it. A stream that has fallen silent runs no further.

        :param now: monotonic seconds.
        """
        first = self.first_event
        silent = now - self.progress >= CRASH_WINDOW_SECONDS
        ran_until = self.progress if silent else now
        return first is not None and ran_until - first >= CRASH_WINDOW_SECONDS

    def hedge(self, reason: str, now: float) -> None:
        """Start another run beside this one, which goes on.

        :param reason: for the log.
        :param now: monotonic seconds.
        """
        self.hedged = True
        self.next_hedge = now + HEDGE_PAUSE_SECONDS
        self.start_hedge(self, reason)

    def interrupt(self, reason: str) -> None:
        """Stop reading the answer, so that another attempt can resume it.

        Does nothing if the stream was interrupted before, if its reading has
        finished, for example while a command to move it was in flight, or if
        the client is being sent what has arrived.

        :param reason: logged as the reason of the failed attempt.
        """
        if not (self.reason or self.finished or self.writing):
            self.reason = reason
            self.scope.reschedule(asyncio.get_running_loop().time())

    def uses(self, names: Iterable[str]) -> bool:
        """Whether the path contains any of the named replicas."""
        wanted = set(names)
        return any(stage.replica.name in wanted for stage in self.path)
