"""Parts of a process run again after they failed."""

import asyncio
import json

from ryelatch_core.events import LineLog, keep_running
from ryelatch_core.kernel import SystemClock, cancel_task


async def test_crashed_part_is_started_again_and_told() -> None:
    """A part fails by an error that nobody foresaw.

    Its task would end in silence, and the process serve on with what it
    believed. It runs again, and a line says where it failed.
    """
    taken: list[bytes] = []

    def write(line: bytes) -> int:
        taken.append(line)
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
    line = json.loads(taken[0])
    assert line['name'] == 'task-crashed'
    assert 'unforeseen' in line['trace']
