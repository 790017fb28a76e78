"""Tests that permanent tasks are restarted after failures."""

import asyncio
import json

from ryelatch_core.events import LineLog, keep_running
from ryelatch_core.kernel import SystemClock, cancel_task


async def test_crashed_part_is_started_again_and_told() -> None:
    """A permanent task fails with an unexpected exception.

    Without a restart the process would continue with outdated state. The task
    runs again, and a log line has the traceback.
    """
    written: list[bytes] = []

    def write(line: bytes) -> int:
        written.append(line)
        return len(line)

    again = asyncio.Event()
    runs = []

    async def work() -> None:
        runs.append(1)
        if len(runs) == 1:
            raise KeyError('unforeseen')
        again.set()
        await asyncio.Event().wait()

    log = LineLog('node-a', SystemClock(), write)
    task = asyncio.create_task(keep_running('part', work, log))
    await asyncio.wait_for(again.wait(), 10)
    await cancel_task(task)
    line = json.loads(written[0])
    assert line['name'] == 'task-crashed'
    assert 'unforeseen' in line['trace']
