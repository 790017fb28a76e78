"""Background tasks whose results are not awaited."""

import asyncio
import traceback
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.kernel import cancel_task


@dataclass(eq=False)
class Tasks:
    """Runs background tasks, and logs those that raise an exception.

    :param part: what the log line names as the part of the node that failed;
        no other record of the failure exists.
    """

    log: LineLog
    part: str
    _running: set['asyncio.Task[None]'] = field(default_factory=set)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background."""
        task = asyncio.create_task(self._guard(work))
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        # A task that is cancelled before its first step never awaits the
        # coroutine, which must then be closed here.
        task.add_done_callback(lambda _: work.close())

    async def stop(self) -> None:
        """Cancel all running tasks."""
        for task in tuple(self._running):
            await cancel_task(task)

    async def _guard(self, work: Coroutine[Any, Any, None]) -> None:
        try:
            await work
        except Exception:
            self.log.record(
                catalogue.TASK_CRASHED,
                part=self.part,
                trace=traceback.format_exc(),
            )
