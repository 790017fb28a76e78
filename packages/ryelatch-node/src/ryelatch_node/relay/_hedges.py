"""Runs of one request beside each other, of which the first to deliver stays.

A replica that sends nothing may be lost or may go on at any moment, and no
timeout tells one from the other. So a run is not given up for its silence:
another run is started beside it, a hedge, and the first whose next event
arrives goes on alone.
"""

import asyncio
import enum
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any, Protocol

from ryelatch_node.relay._errors import AnswerBroken, ClientGone
from ryelatch_node.relay._exchange import AdmittedRequest, Exchange
from ryelatch_node.relay._stream import OVERTAKEN, LiveStream

MAX_SENDS = 5
"""Maximum attempts for one request, whatever their results.

An attempt takes up to one second, and clients give up after two seconds
without an event, so more attempts help only where replicas refuse at once.
"""


class AttemptResult(enum.Enum):
    """Whether an attempt completed the request or another one may follow."""

    DONE = 'done'
    AGAIN = 'again'


class Run(Protocol):
    """A run of a request, at a replica or at a node that serves it.

    :param reason: why it was interrupted; empty if it was not.
    """

    reason: str

    def interrupt(self, reason: str) -> None:
        """Stop reading its answer."""


def has_run_left(exchange: Exchange, request: AdmittedRequest) -> bool:
    """Whether a request may have another run beside those in progress.

    They count, also before their first events. The last of all attempts is
    kept for when they are lost.
    """
    ran = exchange.ran + exchange.unbegun
    few = exchange.sends < MAX_SENDS - 1
    return few and ran < request.route.max_attempts


def may_continue(exchange: Exchange, last_event: int | None) -> bool:
    """Whether another run can follow what the client has of an answer.

    Without event IDs it would repeat that part.

    :param last_event: number of the last event that the client has.
    """
    return last_event is not None or not exchange.started


@dataclass(eq=False)
class HedgedRuns:
    """The runs of one request that are in progress.

    :param runs: those that were sent and have not ended.
    :param claims: how often a run has claimed the answer.
    """

    runs: set[Run] = field(default_factory=set)
    claims: int = 0
    _hedges: set['asyncio.Task[AttemptResult]'] = field(default_factory=set)

    def claim(self, run: Run) -> bool:
        """Let a run deliver what has arrived, and interrupt all others.

        :returns: whether it may; otherwise another run was first.
        """
        if run.reason:
            return False
        self.claims += 1
        for other in self.runs:
            if other is not run:
                other.interrupt(OVERTAKEN)
        return True

    def has_other(self, run: Run) -> bool:
        """Whether a run beside this one is in progress."""
        return bool(self.runs - {run})

    def list_first_replicas(self) -> set[str]:
        """List the names of the first replicas of the runs in progress."""
        return {
            run.first_replica.name
            for run in self.runs
            if isinstance(run, LiveStream)
        }

    def start(self, hedge: Coroutine[Any, Any, AttemptResult]) -> None:
        """Start a hedge beside the runs in progress."""
        self._hedges.add(asyncio.create_task(hedge))

    async def join(self, outcome: AttemptResult) -> AttemptResult:
        """Wait for the hedges that may still complete the request.

        :param outcome: of the run beside which they were started.
        """
        while outcome is AttemptResult.AGAIN and self._hedges:
            done, _ = await asyncio.wait(
                self._hedges, return_when=asyncio.FIRST_COMPLETED
            )
            self._hedges -= done
            outcomes = {hedge.result() for hedge in done}
            if AttemptResult.DONE in outcomes:
                return AttemptResult.DONE
        return outcome

    async def stop(self) -> None:
        """End all hedges, as the request has ended."""
        for hedge in self._hedges:
            hedge.cancel()
        outcomes = await asyncio.gather(*self._hedges, return_exceptions=True)
        self._hedges.clear()
        for outcome in outcomes:
            expected = isinstance(outcome, AnswerBroken | ClientGone)
            if isinstance(outcome, Exception) and not expected:
                raise outcome
