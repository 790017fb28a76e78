"""What a node refuses while it may not know what others have seen."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass, field

import pytest

from fake_clock import FakeClock
from fleet.running import wait_until
from ryelatch_core.eras import StoreRevision
from ryelatch_core.events import LineLog
from ryelatch_core.quarantine import (
    CRASH_THRESHOLD,
    SETTLE_SECONDS,
    Crashes,
    CrashTracker,
    Fingerprint,
    RequestPhase,
    StoredCrashes,
    StoreWrite,
    make_part_key,
)
from ryelatch_node.ports import QuarantineStore, StoreWriteResult
from ryelatch_node.quarantine import Quarantine

_PART = make_part_key('model', 'f1')
_NAMES = tuple(f'm-{number}+1' for number in range(CRASH_THRESHOLD))
_REVISION = StoreRevision(1, 5)


@dataclass(eq=False)
class _Store:
    """A store that answers reads from a time on, and writes always.

    :param answers: set when it answers reads.
    :param reports: what others have written, which no watch returns.
    :param written: keys that the node wrote.
    """

    reports: Iterable[StoredCrashes] = ()
    answers: asyncio.Event = field(default_factory=asyncio.Event)
    written: set[str] = field(default_factory=set)

    async def apply_write(self, write: StoreWrite) -> StoreWriteResult:
        """Write an object."""
        assert write.crashes is not None
        self.written.add(write.key)
        stored = StoredCrashes(write.key, write.crashes, _REVISION)
        return StoreWriteResult(answered=True, stored=stored, written=True)

    async def read_all(self) -> Iterable[StoredCrashes]:
        """Read what others have written."""
        await self.answers.wait()
        return self.reports


@dataclass(frozen=True)
class _Node:
    store: _Store
    clock: FakeClock
    quarantine: Quarantine

    async def crash(self) -> None:
        """Lose replicas under different requests with the part."""
        for number, name in enumerate(_NAMES):
            asked = Fingerprint(f'{number:016x}', (_PART,))
            self.quarantine.record_crash(
                asked, name, RequestPhase.BEGUN, f'r-{number}'
            )
        await wait_until(lambda: _PART in self.store.written)

    def refuses(self) -> bool:
        """Whether another request with the part is refused."""
        self.quarantine.evaluate()
        asked = Fingerprint('f' * 16, (_PART,))
        return self.quarantine.find_refused(asked) is not None


@contextlib.asynccontextmanager
async def _run(*reports: StoredCrashes) -> AsyncIterator[_Node]:
    """Run a node whose first list of reports was empty."""
    store, clock = _Store(reports), FakeClock()
    quarantine = Quarantine(
        LineLog('node-a', clock, len),
        clock,
        QuarantineStore(store.apply_write, read_all=store.read_all),
        CrashTracker(0.5),
    )
    quarantine.replace(())
    await quarantine.start()
    try:
        yield _Node(store, clock, quarantine)
    finally:
        await quarantine.stop()


async def test_sound_part_is_not_refused_unheard() -> None:
    """A node refuses a sound part, as reports of the cause don't arrive.

    Its own crashes are written, and then the store is silent.
    """
    async with _run() as node:
        await node.crash()
        node.clock.now += SETTLE_SECONDS
        assert not node.refuses()


@pytest.mark.parametrize('knows_cause', [False, True])
async def test_reports_are_read_before_a_part_is_judged(
    knows_cause: bool,
) -> None:
    """Others know the cause, and the node has not begun to watch."""
    cause = StoredCrashes('c' * 16, Crashes(frozenset(_NAMES)), _REVISION)
    async with _run(*[cause] * knows_cause) as node:
        await node.crash()
        node.store.answers.set()
        await wait_until(lambda: node.quarantine.tracker.unheard_since is None)
        node.clock.now += SETTLE_SECONDS
        assert node.refuses() is not knows_cause
