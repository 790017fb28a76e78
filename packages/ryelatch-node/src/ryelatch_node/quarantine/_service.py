"""Shares what nodes know of requests under which replicas end."""

import asyncio
import contextlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from ryelatch_core.events import LineLog, catalogue, keep_running
from ryelatch_core.kernel import App, Clock, Service, cancel_task
from ryelatch_core.quarantine import (
    Crashes,
    CrashTracker,
    RequestPhase,
    StoredCrashes,
    StoreWrite,
)
from ryelatch_node.ports import QuarantineStore

TICK_SECONDS = 0.1
"""How often is looked for what the store is to be told, while there is."""

IDLE_SECONDS = 5.0
"""The same while this node has nothing to tell; only what lapses is found."""

MOST_STEPS = 20
"""Writes in a row; in the loss of a whole group others have their turn."""

_FIRST_PAUSE = 0.1
_LONGEST_PAUSE = 1.6


@dataclass(eq=False)
class Quarantine:
    """Requests that are refused as replicas end under them.

    Each attempt of a client may come to another node. So what each node sees
    is kept in the store, where all follow it, a node that starts included.

    :param book: what is known.
    """

    log: LineLog
    clock: Clock
    store: QuarantineStore
    book: CrashTracker
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _task: 'asyncio.Task[None] | None' = None
    _told: frozenset[str] = frozenset()

    async def start(self) -> None:
        """Begin to tell the store."""
        self._task = asyncio.create_task(
            keep_running('quarantine', self._run, self.log)
        )

    async def stop(self) -> None:
        """Tell nothing more."""
        await cancel_task(self._task)

    def find_refused(self, digest: str) -> Crashes | None:
        """Find why a request is refused; nothing if it isn't."""
        return self.book.find_refused(digest)

    def is_suspect(self, digest: str) -> bool:
        """Whether a replica has ended under a request that may be why."""
        return self.book.is_suspect(digest, self.clock.monotonic())

    def count_refused(self) -> int:
        """Count the requests that are refused."""
        return len(self._told)

    def count_suspects(self) -> int:
        """Count the requests under which replicas ended, refused or not."""
        return len(self.book)

    def record_crash(
        self,
        digest: str,
        life: str,
        manner: RequestPhase,
        request: str,
    ) -> None:
        """Note that a replica has ended under a request.

        :param life: name of the replica's life.
        :param request: identity of the attempt, for the line.
        """
        now = self.clock.monotonic()
        if self.book.record_crash(digest, life, manner, now):
            self.log.record(
                catalogue.REQUEST_SUSPECTED,
                request=request,
                digest=digest,
                replica=life,
                manner=manner.value,
            )
            self._tell()

    def record_run(self, digest: str) -> None:
        """Note that a request has run and its replica is still there."""
        if self.book.record_run(digest, self.clock.monotonic()):
            self._tell()

    def put(self, stored: StoredCrashes) -> None:
        """Take what the store holds of a request."""
        self.book.put(stored, self.clock.monotonic())
        self._tell()

    def remove(self, digest: str) -> None:
        """Take note that a request is let in again."""
        self.book.remove(digest, self.clock.monotonic())
        self._tell()

    def replace(self, listed: Iterable[StoredCrashes]) -> None:
        """Take all that the store holds."""
        self.book.replace(listed, self.clock.monotonic())
        self._tell()

    def evaluate(self) -> None:
        """Decide anew what is refused, as time has passed."""
        self.book.evaluate(self.clock.monotonic())
        self._record()

    def _tell(self) -> None:
        """Record what has changed, and look for what the store is to know."""
        self._record()
        self._changed.set()

    def _record(self) -> None:
        """Record which requests are refused from now on, and which no more."""
        refused = self.book.refused
        for digest in refused.keys() - self._told:
            crashes = refused[digest]
            self.log.record(
                catalogue.REQUEST_QUARANTINED,
                digest=digest,
                begun=sorted(crashes.begun),
                waiting=sorted(crashes.waiting),
            )
        for digest in self._told - refused.keys():
            self.log.record(catalogue.REQUEST_RELEASED, digest=digest)
        self._told = frozenset(refused)

    async def _run(self) -> None:
        pause = _FIRST_PAUSE
        while True:
            steps = self.book.list_due_writes(self.clock.monotonic())
            if await self._carry_out(steps[:MOST_STEPS]):
                pause = _FIRST_PAUSE
                await self._wait()
            else:
                # The store is out. Nothing is lost: it is told when it is
                # back, and this node itself knows already.
                await asyncio.sleep(pause)
                pause = min(_LONGEST_PAUSE, pause * 2)

    async def _carry_out(self, steps: list[StoreWrite]) -> bool:
        for step in steps:
            found = await self.store.apply_write(step)
            if not found.answered:
                return False
            if found.stored is None:
                self.remove(step.digest)
            else:
                self.put(found.stored)
        return True

    async def _wait(self) -> None:
        """Wait for something to tell, without a look at each of its changes."""
        await asyncio.sleep(TICK_SECONDS)
        if self.book.has_pending_writes(self.clock.monotonic()):
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IDLE_SECONDS):
                await self._changed.wait()
        self._changed.clear()


def setup(app: App) -> None:
    """Add the service ``quarantine``."""
    quarantine = Quarantine(
        app.find('log', LineLog),
        app.clock,
        app.find('quarantine-store', QuarantineStore),
        CrashTracker(app.random_source.random()),
    )
    app.add(
        Service(
            'quarantine',
            quarantine,
            start=quarantine.start,
            stop=quarantine.stop,
        )
    )
