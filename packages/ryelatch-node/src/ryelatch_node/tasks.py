"""Work that nobody awaits."""

import asyncio
import traceback
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.kernel import cancel_task


@dataclass(eq=False)
class Tasks:
    """Runs work beside all else, and records what crashes.

    :param part: names the work in that line, which is all that would tell.
    """

    log: LineLog
    part: str
    _running: set['asyncio.Task[None]'] = field(default_factory=set)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Begin some work."""
        task = asyncio.create_task(self._guard(work))
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        # A task that is cancelled before it begins never awaits its work.
        task.add_done_callback(lambda _: work.close())

    async def stop(self) -> None:
        """End what is running."""
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
