"""Shares what nodes know of requests under which replicas end."""

import asyncio
import contextlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from ryelatch_core.events import LineLog, catalogue, keep_running
from ryelatch_core.kernel import App, Clock, Service, cancel_task
from ryelatch_core.quarantine import Book, Case, Manner, Step, StoredCase
from ryelatch_node.ports import QuarantineStore

TICK_SECONDS = 0.1
"""How often is looked for what the store is to be told, while there is."""

IDLE_SECONDS = 5.0
"""The same while this node has nothing to tell; only what lapses is found."""

MAX_WRITES = 20
"""Writes in a row; in the loss of a whole group others have their turn."""

_FIRST_RETRY_SECONDS = 0.1
_MAX_RETRY_SECONDS = 1.6


@dataclass(eq=False)
class Quarantine:
    """Requests that are refused as replicas end under them.

    Each attempt of a client may come to another node. So what each node sees
    is kept in the store, where all follow it, a node that starts included.

    :param tracker: what is known.
    """

    log: LineLog
    clock: Clock
    store: QuarantineStore
    tracker: Book
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _task: 'asyncio.Task[None] | None' = None
    _logged: frozenset[str] = frozenset()

    async def start(self) -> None:
        """Begin to tell the store."""
        self._task = asyncio.create_task(
            keep_running('quarantine', self._run, self.log)
        )

    async def stop(self) -> None:
        """Tell nothing more."""
        await cancel_task(self._task)

    def find_refused(self, digest: str) -> Case | None:
        """Find why a request is refused; nothing if it isn't."""
        return self.tracker.find_refused(digest)

    def is_suspect(self, digest: str) -> bool:
        """Whether a replica has ended under a request that may be why."""
        return self.tracker.is_suspect(digest, self.clock.monotonic())

    def count_refused(self) -> int:
        """Count the requests that are refused."""
        return len(self._logged)

    def count_suspects(self) -> int:
        """Count the requests under which replicas ended, refused or not."""
        return len(self.tracker)

    def note_end(
        self,
        digest: str,
        incarnation: str,
        phase: Manner,
        request: str,
    ) -> None:
        """Note that a replica has ended under a request.

        :param incarnation: name of the replica's life.
        :param request: identity of the attempt, for the line.
        """
        now = self.clock.monotonic()
        if self.tracker.note_end(digest, incarnation, phase, now):
            self.log.record(
                catalogue.REQUEST_SUSPECTED,
                request=request,
                digest=digest,
                replica=incarnation,
                manner=phase.value,
            )
            self._on_change()

    def note_run(self, digest: str) -> None:
        """Note that a request has run and its replica is still there."""
        if self.tracker.note_run(digest, self.clock.monotonic()):
            self._on_change()

    def put(self, stored: StoredCase) -> None:
        """Take what the store holds of a request."""
        self.tracker.put(stored, self.clock.monotonic())
        self._on_change()

    def remove(self, digest: str) -> None:
        """Take note that a request is let in again."""
        self.tracker.remove(digest, self.clock.monotonic())
        self._on_change()

    def replace(self, listed: Iterable[StoredCase]) -> None:
        """Take all that the store holds."""
        self.tracker.replace(listed, self.clock.monotonic())
        self._on_change()

    def judge(self) -> None:
        """Decide anew what is refused, as time has passed."""
        self.tracker.judge(self.clock.monotonic())
        self._log_changes()

    def _on_change(self) -> None:
        """Record what has changed, and look for what the store is to know."""
        self._log_changes()
        self._changed.set()

    def _log_changes(self) -> None:
        """Record which requests are refused from now on, and which no more."""
        refused = self.tracker.refused
        for digest in refused.keys() - self._logged:
            case = refused[digest]
            self.log.record(
                catalogue.REQUEST_QUARANTINED,
                digest=digest,
                begun=sorted(case.begun),
                waiting=sorted(case.waiting),
            )
        for digest in self._logged - refused.keys():
            self.log.record(catalogue.REQUEST_RELEASED, digest=digest)
        self._logged = frozenset(refused)

    async def _run(self) -> None:
        pause = _FIRST_RETRY_SECONDS
        while True:
            writes = self.tracker.list_due(self.clock.monotonic())
            if await self._perform(writes[:MAX_WRITES]):
                pause = _FIRST_RETRY_SECONDS
                await self._wait()
            else:
                # The store is out. Nothing is lost: it is told when it is
                # back, and this node itself knows already.
                await asyncio.sleep(pause)
                pause = min(_MAX_RETRY_SECONDS, pause * 2)

    async def _perform(self, writes: list[Step]) -> bool:
        for write in writes:
            found = await self.store.carry_out(write)
            if not found.answered:
                return False
            if found.stored is None:
                self.remove(write.digest)
            else:
                self.put(found.stored)
        return True

    async def _wait(self) -> None:
        """Wait for something to tell, without a look at each of its changes."""
        await asyncio.sleep(TICK_SECONDS)
        if self.tracker.has_news(self.clock.monotonic()):
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
        Book(app.chance.random()),
    )
    app.add(
        Service(
            'quarantine',
            quarantine,
            start=quarantine.start,
            stop=quarantine.stop,
        )
    )
