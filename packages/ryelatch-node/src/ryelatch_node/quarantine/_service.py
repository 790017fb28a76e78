"""Refuses what appears to crash replicas, and shares this among nodes."""

import asyncio
import contextlib
import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from ryelatch_core.events import LineLog, catalogue, keep_running
from ryelatch_core.kernel import App, Clock, Service, cancel_task
from ryelatch_core.quarantine import (
    Cause,
    CrashTracker,
    Fingerprint,
    RequestPhase,
    StoredCrashes,
    StoreWrite,
    is_part,
)
from ryelatch_node.ports import QuarantineStore
from ryelatch_node.quarantine._reports import ReportReader

TICK_SECONDS = 0.1
"""Interval of checks for due writes to the store while writes are pending."""

SAME_CRASH_SECONDS = 0.05
"""Time within which this node records all requests lost in one crash.

They share one check of the replica, and are recorded in the same moment.
"""

RETRACT_SECONDS = 2.0
"""Time for which crashes may be taken back; links are known to be lost in 1 s.
"""

SETTLE_TICK_SECONDS = 0.05
"""Interval at which a held request looks whether it is refused."""

IDLE_SECONDS = 5.0
"""Interval of checks while none are pending; they only find what expires."""

MAX_WRITES = 20
"""Maximum writes in a row.

After the loss of a whole group of replicas, other nodes get their turn as well.
"""

_FIRST_RETRY_SECONDS = 0.1
_MAX_RETRY_SECONDS = 1.6


@dataclass(eq=False)
class Quarantine:
    """Refuses requests under which replicas crash.

    Each retry of a client may arrive at a different node. So the crashes that
    each node observes are kept in the store, which all nodes watch, including
    nodes that have just started.

    :param tracker: the crashes observed by this node and by others.
    """

    log: LineLog
    clock: Clock
    store: QuarantineStore
    tracker: CrashTracker
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _task: 'asyncio.Task[None] | None' = None
    _logged: frozenset[str] = frozenset()
    _heard_at: float = -math.inf
    _reader: ReportReader = field(init=False)

    def __post_init__(self) -> None:
        """Create the reader of reports."""

        def apply(reports: Iterable[StoredCrashes], sent: float) -> None:
            for stored in reports:
                self.put(stored)
            self.confirm(sent)

        self._reader = ReportReader(
            self.log,
            self.clock,
            self.store,
            lambda: self.tracker.unheard_since,
            apply,
        )

    async def start(self) -> None:
        """Start to write observed crashes to the store."""
        self._task = asyncio.create_task(
            keep_running('quarantine', self._run, self.log)
        )

    async def stop(self) -> None:
        """Stop writing to the store."""
        await cancel_task(self._task)
        await self._reader.stop()

    def find_refused(self, fingerprint: Fingerprint) -> Cause | None:
        """Find what a request is refused for; nothing if it is not."""
        return self.tracker.find_refused(fingerprint)

    def find_suspect(self, fingerprint: Fingerprint) -> str | None:
        """Find the key by which a request may crash replicas, if any."""
        return self.tracker.find_suspect(fingerprint, self.clock.monotonic())

    def may_claim_trial(self, fingerprint: Fingerprint) -> bool:
        """Whether a refused request may be the fleet's next trial."""
        return self._find_trial(fingerprint) is not None

    async def claim_trial(self, fingerprint: Fingerprint) -> bool:
        """Claim the fleet's next trial for a refused request.

        :returns: whether it is claimed, so that the request may be sent once.
        """
        write = self._find_trial(fingerprint)
        if write is None:
            return False
        found = await self.store.apply_write(write)
        stored = found.stored
        if stored is None:
            return False
        self.put(stored)
        if found.written:
            self.log.record(
                catalogue.REQUEST_TRIED,
                digest=write.key,
                trials=stored.crashes.trials,
            )
        return found.written

    async def wait_until_settled(self, fingerprint: Fingerprint) -> bool:
        """Wait until it is known whether a request is refused.

        :returns: whether it was unknown.
        """
        waited = False
        self._update_knowledge()
        while self.tracker.is_unsettled(fingerprint, self.clock.monotonic()):
            waited = True
            await asyncio.sleep(SETTLE_TICK_SECONDS)
        if waited:
            self._log_changes()
        return waited

    def count_refused(self, *, parts: bool) -> int:
        """Count the whole requests, or the parts, that are refused."""
        return sum(is_part(key) == parts for key in self._logged)

    def count_suspects(self) -> int:
        """Count the keys under which replicas crashed, refused or not."""
        return len(self.tracker)

    def record_crash(
        self,
        fingerprint: Fingerprint,
        incarnation: str,
        phase: RequestPhase,
        request: str,
        *,
        events: int = 0,
    ) -> None:
        """Record that a replica crashed while it held a request.

        :param incarnation: name of the incarnation that crashed.
        :param phase: whether the request had begun to run or was waiting.
        :param request: ID of the attempt, for the log.
        :param events: events of its answer that had arrived from the replica.
        """
        now = self.clock.monotonic()
        self._update_knowledge()
        counted = self.tracker.record_crash(
            fingerprint, incarnation, phase, now, events
        )
        if counted:
            self.log.record(
                catalogue.REQUEST_SUSPECTED,
                request=request,
                digest=fingerprint.digest,
                replica=incarnation,
                manner=phase.value,
                events=events,
                parts=[key for key in counted if is_part(key)],
            )
            self._on_change()

    def record_run(self, fingerprint: Fingerprint) -> None:
        """Record that a request has run and its replica has not crashed."""
        if self.tracker.record_run(fingerprint, self.clock.monotonic()):
            self._on_change()

    def record_failed_run(self, fingerprint: Fingerprint) -> None:
        """Record that a replica answered a request with a failure.

        It may have done so before it read the prompt, so its parts may still
        crash replicas.
        """
        self.record_run(Fingerprint(fingerprint.digest))

    def retract_crashes(self, incarnations: Collection[str]) -> None:
        """Take back crashes recorded just now, as the replicas are running.

        Only this node had lost them, with its links.
        """
        now = self.clock.monotonic()
        if self.tracker.retract(incarnations, now - RETRACT_SECONDS, now):
            self._on_change()

    def put(self, stored: StoredCrashes) -> None:
        """Apply the stored crashes of a key."""
        self.tracker.put(stored, self.clock.monotonic())
        self._on_change()

    def remove(self, key: str) -> None:
        """Apply the deletion of a key's crashes from the store."""
        self.tracker.remove(key, self.clock.monotonic())
        self._on_change()

    def replace(self, listed: Iterable[StoredCrashes]) -> None:
        """Apply a complete list of the store's contents."""
        self.tracker.replace(listed, self.clock.monotonic())
        self._on_change()

    def confirm(self, confirmed_at: float) -> None:
        """Record that this node had all changes of the store at a time.

        :param confirmed_at: monotonic seconds.
        """
        self._heard_at = max(self._heard_at, confirmed_at)
        self.evaluate()

    def evaluate(self) -> None:
        """Re-evaluate which requests are refused, as crashes expire."""
        self._update_knowledge()
        self.tracker.evaluate(self.clock.monotonic())
        self._log_changes()

    def _find_trial(self, fingerprint: Fingerprint) -> StoreWrite | None:
        if not self.store.is_current():
            return None
        return self.tracker.find_trial(fingerprint, self.clock.monotonic())

    def _update_knowledge(self) -> None:
        self.tracker.set_informed(
            informed=self.store.is_current(),
            now=self.clock.monotonic(),
            heard_at=self._heard_at,
        )

    def _on_change(self) -> None:
        """Log changes, and wake the task that writes to the store."""
        self._log_changes()
        self._reader.check()
        self._changed.set()

    def _log_changes(self) -> None:
        """Log which requests are newly refused, and which no longer are."""
        refused = self.tracker.refused
        for digest in refused.keys() - self._logged:
            cause = refused[digest]
            self.log.record(
                catalogue.REQUEST_QUARANTINED,
                digest=digest,
                causes=sorted(cause.keys),
                begun=sorted(cause.crashes.begun),
                waiting=sorted(cause.crashes.waiting),
            )
        for digest in self._logged - refused.keys():
            self.log.record(catalogue.REQUEST_RELEASED, digest=digest)
        self._logged = frozenset(refused)

    async def _run(self) -> None:
        pause = _FIRST_RETRY_SECONDS
        while True:
            writes = self.tracker.list_due_writes(self.clock.monotonic())
            if await _perform(self, writes[:MAX_WRITES]):
                pause = _FIRST_RETRY_SECONDS
                await _wait_for_writes(self.tracker, self.clock, self._changed)
            else:
                # The store is unavailable. Nothing is lost: this node applies
                # the crashes already, and writes them once the store is back.
                await asyncio.sleep(pause)
                pause = min(_MAX_RETRY_SECONDS, pause * 2)


async def _perform(quarantine: Quarantine, writes: list[StoreWrite]) -> bool:
    """Perform writes one after the other.

    :returns: whether the store has answered all of them.
    """
    for write in writes:
        found = await quarantine.store.apply_write(write)
        if not found.answered:
            return False
        if found.stored is None:
            quarantine.remove(write.key)
        else:
            quarantine.put(found.stored)
    return True


async def _wait_for_writes(
    tracker: CrashTracker, clock: Clock, changed: asyncio.Event
) -> None:
    """Wait until writes may be due, without a check at every change."""
    await asyncio.sleep(TICK_SECONDS)
    if tracker.has_pending_writes(clock.monotonic()):
        return
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(IDLE_SECONDS):
            await changed.wait()
    changed.clear()


def setup(app: App) -> None:
    """Add the service ``quarantine``."""
    quarantine = Quarantine(
        app.find('log', LineLog),
        app.clock,
        app.find('quarantine-store', QuarantineStore),
        CrashTracker(app.random_source.random(), SAME_CRASH_SECONDS),
    )
    app.add(
        Service(
            'quarantine',
            quarantine,
            start=quarantine.start,
            stop=quarantine.stop,
        )
    )
