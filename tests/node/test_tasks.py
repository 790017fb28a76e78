"""Background tasks log their exceptions, and stop without leftovers."""

import asyncio
import inspect
import json

from ryelatch_core.events import LineLog
from ryelatch_node.tasks import Tasks
from virtual.loop import VirtualClock, run


def _make_tasks(lines: list[bytes]) -> Tasks:
    def write(line: bytes) -> int:
        lines.append(line)
        return len(line)

    return Tasks(LineLog('node-a', VirtualClock(), write), 'errands')


async def _crash() -> None:
    await asyncio.sleep(0)
    raise ValueError('of no use')


def test_crash_has_a_line() -> None:
    """A task raises an exception; without a log line, its loss is invisible."""
    lines: list[bytes] = []

    async def scenario() -> None:
        tasks = _make_tasks(lines)
        tasks.spawn(_crash())
        await asyncio.sleep(1)
        tasks.log.flush()

    run(scenario())
    records = [json.loads(text) for line in lines for text in line.splitlines()]
    assert [record['part'] for record in records] == ['errands']
    assert 'of no use' in records[0]['trace']


def test_stop_ends_what_runs() -> None:
    """A node stops while a task runs; the task is cancelled."""
    ended: list[str] = []

    async def work() -> None:
        try:
            await asyncio.sleep(100)
        finally:
            ended.append('work')

    async def scenario() -> None:
        tasks = _make_tasks([])
        tasks.spawn(work())
        await asyncio.sleep(1)
        await tasks.stop()

    run(scenario())
    assert ended == ['work']


def test_stop_closes_what_has_not_begun() -> None:
    """A node stops before a new task has run; its coroutine is closed."""

    async def scenario() -> None:
        tasks = _make_tasks([])
        work = _crash()
        tasks.spawn(work)
        await tasks.stop()
        assert inspect.getcoroutinestate(work) == inspect.CORO_CLOSED

    run(scenario())
