"""Restarts the permanent tasks of a process after failures."""

import asyncio
import traceback
from collections.abc import Awaitable, Callable

from ryelatch_core.events._catalogue import TASK_CRASHED
from ryelatch_core.events._lines import LineLog

RESTART_SECONDS = 0.2
"""Pause before a failed task is restarted.

Long enough that a task which always fails at once uses few resources, and
short compared with every deadline that the tasks have to meet.
"""


async def keep_running(
    name: str,
    work: Callable[[], Awaitable[None]],
    log: LineLog,
) -> None:
    """Run a permanent task, and restart it whenever it fails.

    An exception in a task that nothing awaits would go unnoticed. The process
    would continue with outdated state, and the failure would only show when a
    change that it missed is in force everywhere else.

    :param name: name of the task, for the log.
    """
    while True:
        try:
            await work()
        except Exception:
            log.record(TASK_CRASHED, part=name, trace=traceback.format_exc())
        await asyncio.sleep(RESTART_SECONDS)
