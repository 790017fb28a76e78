"""Keeps the parts of a process running."""

import asyncio
import traceback
from collections.abc import Awaitable, Callable

from ryelatch_core.events._catalogue import TASK_CRASHED
from ryelatch_core.events._lines import LineLog

RESTART_SECONDS = 0.2
"""Pause before a part that failed is started again.

Long enough that one that fails at once costs little, and short beside every
bound that the parts have to keep.
"""


async def keep_running(
    name: str,
    work: Callable[[], Awaitable[None]],
    log: LineLog,
) -> None:
    """Run a part of a process for good, and again whenever it fails.

    A task that ends by an error nobody awaits ends in silence. The process
    then serves on with what it believed, and nothing shows until a change
    that it should have heard of is in force everywhere else.
    """
    while True:
        try:
            await work()
        except Exception:
            log.record(TASK_CRASHED, part=name, trace=traceback.format_exc())
        await asyncio.sleep(RESTART_SECONDS)
