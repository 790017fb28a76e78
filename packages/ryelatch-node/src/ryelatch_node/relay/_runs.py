"""Runs of one request that are in progress beside each other."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from ryelatch_core.kernel import Clock, cancel_task, ran_late


@dataclass(eq=False)
class Runs:
    """Runs of one request, of which an overdue one goes on beside the next.

    A replica that is silent may answer a moment later, and the run at it may be
    the only one that can.

    :param is_settled: whether the results so far end the request.
    """

    clock: Clock
    is_settled: Callable[[], bool]
    _latest: 'asyncio.Task[None] | None' = None
    _pending: set['asyncio.Task[None]'] = field(default_factory=set)

    @property
    def in_progress(self) -> bool:
        """Whether any run has not ended."""
        return bool(self._pending)

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Begin a run beside those in progress."""
        self._latest = asyncio.create_task(work)
        self._pending.add(self._latest)

    async def wait_for_latest(self, compute_due: Callable[[], float]) -> bool:
        """Wait until the latest run has ended, or is overdue.

        If this process ran late, its answer may have arrived unread.

        :param compute_due: returns when it is, in monotonic seconds.
        :returns: whether it is overdue.
        """
        due = compute_due()
        while self._latest in self._pending and not self.is_settled():
            await self._wait(max(0, due - self.clock.monotonic()))
            now = self.clock.monotonic()
            if now < due or self._latest not in self._pending:
                continue
            if not ran_late(due, now):
                return not self.is_settled()
            due = compute_due()
        return False

    async def wait(self) -> None:
        """Wait until the request is settled, or all runs have ended."""
        while self._pending and not self.is_settled():
            await self._wait(None)

    async def stop(self) -> None:
        """Cancel the runs in progress."""
        for run in self._pending:
            run.cancel()
        for run in tuple(self._pending):
            await cancel_task(run)

    async def _wait(self, seconds: float | None) -> None:
        ended, _ = await asyncio.wait(
            self._pending,
            timeout=seconds,
            return_when=asyncio.FIRST_COMPLETED,
        )
        self._pending -= ended
        for run in ended:
            run.result()


@contextlib.asynccontextmanager
async def open_runs(
    clock: Clock, is_settled: Callable[[], bool]
) -> AsyncIterator[Runs]:
    """Hold the runs of a request; those still in progress end with the block.

    :param is_settled: whether the results so far end the request.
    """
    runs = Runs(clock, is_settled)
    try:
        yield runs
    finally:
        await runs.stop()
