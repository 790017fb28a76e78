"""Work that nobody awaits is not lost in silence."""

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
    """Without it nothing would tell why its streams stand still."""
    lines: list[bytes] = []

    async def play() -> None:
        tasks = _make_tasks(lines)
        tasks.spawn(_crash())
        await asyncio.sleep(1)
        tasks.log.flush()

    run(play())
    told = [json.loads(text) for line in lines for text in line.splitlines()]
    assert [one['part'] for one in told] == ['errands']
    assert 'of no use' in told[0]['trace']


def test_stop_ends_what_runs() -> None:
    """A stopping node leaves nothing behind."""
    ended: list[str] = []

    async def work() -> None:
        try:
            await asyncio.sleep(100)
        finally:
            ended.append('work')

    async def play() -> None:
        tasks = _make_tasks([])
        tasks.spawn(work())
        await asyncio.sleep(1)
        await tasks.stop()

    run(play())
    assert ended == ['work']


def test_stop_closes_what_has_not_begun() -> None:
    """A node stops in the moment that work was begun; nothing complains."""

    async def play() -> None:
        tasks = _make_tasks([])
        work = _crash()
        tasks.spawn(work)
        await tasks.stop()
        assert inspect.getcoroutinestate(work) == inspect.CORO_CLOSED

    run(play())
