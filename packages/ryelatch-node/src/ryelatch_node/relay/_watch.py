"""Detects stalled streams and moves them or resumes them on another path.

A token passes through ten replicas. When one of them is lost, the first
replica waits for the lost one and gives up after two seconds; by then the
client has disconnected. The report of the first replica names the replica that
it waits for, so the stream can be moved to another path. The remaining replicas
keep the KV caches of the tokens that they have processed.
"""

import asyncio
from dataclasses import dataclass, field, replace

from ryelatch_core.admission import LATE_FRACTION
from ryelatch_core.events import catalogue, keep_running
from ryelatch_core.fleet import Replica, choose_path
from ryelatch_core.kernel import LagMeter, cancel_task
from ryelatch_node.ports import CommandResult
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._exchange import round_seconds
from ryelatch_node.relay._hedges import has_run_left, may_continue
from ryelatch_node.relay._lost_links import LINKS_LOST, leaves_lost_links
from ryelatch_node.relay._migration_planner import MigrationPlanner
from ryelatch_node.relay._path_checks import PathChecks
from ryelatch_node.relay._pauses import (
    compute_silence_limit,
    get_stall_limit,
)
from ryelatch_node.relay._probe import Prober
from ryelatch_node.relay._query import get_profile, make_path_query
from ryelatch_node.relay._stream import FIRST_REPLICA_LOST, LiveStream
from ryelatch_node.relay._stream_migrator import StreamMigrator
from ryelatch_node.tasks import Tasks

TICK_SECONDS = 0.02
"""Interval between checks of all streams.

It is about a third of the shortest pause that is checked.
"""

SLOW_FRACTION = 0.6
"""Pause after which replicas are checked for slowness.

It is a fraction of the pause that the clients of the route notice.
"""

MOVE_PAUSE_SECONDS = 0.15
"""Pause between attempts to move a stalled stream."""

REFUSED_MOVE_PAUSE_SECONDS = 0.2
"""Added to ``MOVE_PAUSE_SECONDS`` after a refused move.

Each command has a cost.
"""

MAX_REPAIR_WAIT_SECONDS = 1.1
"""Maximum pause of a stream that waits for a repair in its own zone.

An empty replica loads four layers in 0.7 s, and after a move to it only these
four layers process the tokens again. A new run on another path processes them
in all layers, and sixty streams that do so at once overload the remaining
zones.
"""

HEDGE_SECONDS = 1.3
"""Pause after which another run is started beside a stream.

Clients disconnect after two seconds without an event, and a new run needs
about half a second to produce its first one.
"""

_REPORT_TIMEOUT_SECONDS = 0.4


@dataclass(eq=False)
class StreamWatch:
    """Checks all streams of this node and handles those that are stalled.

    :param prober: checks replicas that refused a request.
    :param streams: the streams in progress.
    :param lag: records when this process ran late.
    """

    context: RelayContext
    prober: Prober
    streams: set[LiveStream] = field(default_factory=set)
    _report_requested: dict[str, float] = field(default_factory=dict)
    _tasks: Tasks = field(init=False)
    lag: LagMeter = field(default_factory=LagMeter)
    _reserved: int = 0
    _ticker: 'asyncio.Task[None] | None' = None

    def __post_init__(self) -> None:
        """Create the parts that check and move streams."""
        self._migrator = StreamMigrator(self.context, self.prober)
        self._departures = MigrationPlanner(self.context.replicas)
        self._path_checks = PathChecks(self.context)
        self._tasks = Tasks(self.context.log, 'stream tasks')

    async def start(self) -> None:
        """Start the periodic checks."""
        self._ticker = asyncio.create_task(
            keep_running('streams', self._run, self.context.log)
        )

    async def stop(self) -> None:
        """Stop the checks and all tasks that they started."""
        await cancel_task(self._ticker)
        await self.prober.stop()
        await self._path_checks.stop()
        await self.context.slow_replicas.stop()
        await self.context.crash_checks.stop()
        await self._tasks.stop()

    async def _run(self) -> None:
        clock = self.context.clock
        while True:
            due = clock.monotonic() + TICK_SECONDS
            await asyncio.sleep(TICK_SECONDS)
            # Events that arrived while this process was blocked are still
            # unread, and every stream would look stalled for that time.
            if not self.lag.record(due, clock.monotonic()):
                self._check_streams()

    def _check_streams(self) -> None:
        now = self.context.clock.monotonic()
        lost = self.context.replicas.list_unreachable()
        self._reserved = 0
        for stream in tuple(self.streams):
            if not (stream.moving or stream.reason or stream.writing):
                self._check_stream(stream, now, lost)

    def _check_stream(
        self,
        stream: LiveStream,
        now: float,
        lost: frozenset[str],
    ) -> None:
        pause = now - stream.progress
        self._report_delay(stream, pause)
        if self.context.links.is_lost(stream.first_replica):
            if leaves_lost_links(self.context, stream, pause, self._reserved):
                self._add_run(stream, LINKS_LOST)
            return
        silence_limit = compute_silence_limit(stream)
        if lost and pause > silence_limit and stream.uses(lost):
            if now - stream.last_move_attempt > MOVE_PAUSE_SECONDS:
                self._tasks.spawn(self._move_off_unreachable(stream, pause))
            return
        if pause > silence_limit * self._path_checks.threshold_factor:
            self._path_checks.check(stream.path)
        if pause > max(silence_limit, stream.request.route.gap * SLOW_FRACTION):
            self.context.slow_replicas.check(stream.path)
        if pause > get_stall_limit(stream):
            _record_stall(stream, pause)
            self._request_report(stream.first_replica, now)
        else:
            self._check_leaving(stream, now)
        # The next one finds out in the next check whether this one has left a
        # path with room.
        if pause > HEDGE_SECONDS and not self._reserved:
            self._hedge(stream, 'silent')

    def _report_delay(self, stream: LiveStream, pause: float) -> None:
        """Report once to the controller that a first event is late.

        Otherwise it would learn of a first replica that hangs only from the
        streams that it still answers.
        """
        if stream.begun or stream.delay_reported:
            return
        if pause <= stream.request.route.objective * LATE_FRACTION:
            return
        stream.delay_reported = True
        self.context.reservations.client.record_delay(
            stream.exchange.key, pause, begun=False
        )

    def _request_report(self, replica: Replica, now: float) -> None:
        """Request a report of a first replica, once for all its streams."""
        if (
            now - self._report_requested.get(replica.name, 0)
            < _REPORT_TIMEOUT_SECONDS / 2
        ):
            return
        self._report_requested[replica.name] = now
        self._tasks.spawn(self._evaluate_report(replica))

    async def _evaluate_report(self, replica: Replica) -> None:
        if not await self.context.throttle.acquire_permit(replica):
            return
        sent = self.context.clock.monotonic()
        try:
            async with asyncio.timeout(_REPORT_TIMEOUT_SECONDS):
                report = await self.context.commands.read_report(replica)
        except TimeoutError:
            self.lag.record(
                sent + _REPORT_TIMEOUT_SECONDS, self.context.clock.monotonic()
            )
            if self.lag.was_late(sent):
                # The report may have arrived unread. If the replica is lost,
                # its streams are still stalled and it is asked again soon.
                self.context.log.record(
                    catalogue.REPORT_DOUBTFUL, replica=replica.name
                )
                return
            report = None
        if report is None:
            self.context.links.record_failed((replica,))
            self.context.replicas.suspect(replica, 'no report', full=False)
            self._hedge_streams_on(replica)
            return
        for stream in self.streams:
            address = report.stalled.get(stream.request.terms.identity)
            if (
                address is not None
                and stream.first_replica.name == replica.name
            ):
                self._suspect_stalled(stream, address)

    def _suspect_stalled(self, stream: LiveStream, address: str) -> None:
        """Suspect the replica of a stream's path that has an address.

        Only the path is searched, as another replica may have the address by
        now.
        """
        for stage in stream.path[1:]:
            if stage.replica.address == address:
                stream.delayed_by_loss = True
                self.context.replicas.suspect(
                    stage.replica, 'stalls', full=False
                )

    def _hedge_streams_on(self, replica: Replica) -> None:
        """Hedge the streams of a first replica that are silent yet."""
        now = self.context.clock.monotonic()
        for stream in tuple(self.streams):
            silent = now - stream.progress > compute_silence_limit(stream)
            if silent and stream.first_replica.name == replica.name:
                self._hedge(stream, 'no report')

    async def _move_off_unreachable(
        self, stream: LiveStream, pause: float
    ) -> None:
        """Move a stream off the unreachable replicas of its path.

        The new path stays in the zone. Otherwise the activations of all its
        tokens would cross zones, and so would those of sixty other stalled
        streams. Zones are crossed only if the stream can't be resumed on a
        path in another zone.
        """
        lost = self.context.replicas.list_unreachable()
        stream.delayed_by_loss = True
        stream.last_move_attempt = self.context.clock.monotonic()
        if stream.first_replica.name in lost:
            # Its next event, if one comes, ends the suspicion.
            _record_stall(stream, pause)
            self._leave_first_replica(stream)
            return
        stream.moving = True
        resumable = self._may_hedge(stream)
        try:
            result = await self._migrator.move(
                stream, lost, crosses=not resumable
            )
        finally:
            stream.moving = False
        if result in {CommandResult.BEGUN, CommandResult.HELD}:
            return
        stream.last_move_attempt += REFUSED_MOVE_PAUSE_SECONDS
        # Until the client notices the pause, a new run may still produce an
        # event in time, so the stream doesn't wait for a repair.
        noticed = pause >= stream.request.route.gap
        may_wait = (
            result is None and noticed and pause < MAX_REPAIR_WAIT_SECONDS
        )
        if may_wait and self._is_repair_imminent(stream):
            return
        self._hedge(stream, f'move {result.value}' if result else 'no path')

    def _leave_first_replica(self, stream: LiveStream) -> None:
        """Resume a stream elsewhere, and end it here if its replica has ended.

        One that only can't be reached may go on, so the stream stays there
        until another run delivers.
        """
        self._hedge(stream, 'first replica unreachable')
        self._tasks.spawn(self._interrupt_if_ended(stream))

    async def _interrupt_if_ended(self, stream: LiveStream) -> None:
        """Interrupt a stream whose first replica is known to have ended.

        A later incarnation has its place, or its address refuses connections
        though it didn't leave. A replica that leaves accepts no connections any
        more and still finishes its streams.
        """
        view, replica = self.context.replicas, stream.first_replica
        now = self.context.clock.monotonic()
        if replica.name in view.incarnations.list_crashed(now):
            stream.interrupt(FIRST_REPLICA_LOST)
            return
        ended = await self.context.crash_checks.refuses_connections(replica)
        if ended and view.is_available(replica):
            stream.interrupt(FIRST_REPLICA_LOST)

    def _hedge(self, stream: LiveStream, reason: str) -> None:
        """Start another run beside a stream, if it may have one here."""
        if self._may_hedge(stream):
            self._add_run(stream, reason)

    def _add_run(self, stream: LiveStream, reason: str) -> None:
        """Start another run beside a stream, if it may have one."""
        if self._may_add_run(stream):
            self._reserved += 1
            stream.hedge(reason, self.context.clock.monotonic())

    def _may_hedge(self, stream: LiveStream) -> bool:
        """Whether another run may be started here beside a stream."""
        return self._may_add_run(stream) and self._has_path(stream)

    def _may_add_run(self, stream: LiveStream) -> bool:
        """Whether another run may be started beside a stream.

        It may have ended while a command to move it was in transit, and its
        client may have been told that nothing ran.
        """
        request = stream.request
        now = self.context.clock.monotonic()
        if stream.finished or stream.hedged or stream.reason or stream.writing:
            return False
        if now < stream.next_hedge:
            return False
        budget = self.context.budgets.get(request.service)
        if budget.left - self._reserved < 1:
            return False
        if not (request.repeatable and has_run_left(stream.exchange, request)):
            return False
        if not may_continue(stream.exchange, stream.splitter.last):
            return False
        suspect = self.context.quarantine.find_suspect(request.fingerprint)
        return suspect is None

    def _has_path(self, stream: LiveStream) -> bool:
        """Whether any zone has a path for a run at another first replica."""
        service = stream.request.service
        lost = self.context.replicas.list_unreachable()
        avoided = lost | {stream.first_replica.name}
        query = make_path_query(self.context, stream.request, avoided)
        if query is None:
            return False
        single_zone = replace(query, crosses=False)
        offered = self.context.replicas.list_service(service)
        return bool(choose_path(offered, single_zone))

    def _is_repair_imminent(self, stream: LiveStream) -> bool:
        """Whether an empty replica of the zone can load the layers in time."""
        service = stream.request.service
        profile = get_profile(self.context, service)
        if profile is None:
            return False
        alive = self.context.replicas.list_reachable(service)
        names = {replica.name for replica in alive}
        lost = [
            stage for stage in stream.path if stage.replica.name not in names
        ]
        layers = max((len(stage.layers) for stage in lost), default=0)
        repair_seconds = layers / profile.layers * profile.load_seconds
        has_spare = any(
            replica.zone == stream.first_replica.zone and replica.layers is None
            for replica in alive
        )
        return has_spare and repair_seconds < MAX_REPAIR_WAIT_SECONDS

    def _check_leaving(self, stream: LiveStream, now: float) -> None:
        """Move a running stream off replicas that are about to stop.

        A first replica that is leaving accepts no more commands, so its
        streams stay. They delay other replicas that are to give up layers,
        but a stream that is interrupted for that isn't certain to find
        another path.
        """
        if self._departures.is_leaving(stream.first_replica):
            return
        leaving = self._departures.choose_replicas_to_leave(stream, now)
        if leaving:
            self._tasks.spawn(self._move_off_leaving(stream, leaving))

    async def _move_off_leaving(
        self,
        stream: LiveStream,
        leaving: frozenset[str],
    ) -> None:
        stream.moving = True
        try:
            await self._migrator.move(stream, leaving, crosses=stream.crosses)
        finally:
            stream.moving = False


def _record_stall(stream: LiveStream, pause: float) -> None:
    """Log a pause once, however often the stream is checked."""
    if not stream.stall_recorded:
        stream.stall_recorded = True
        stream.exchange.record(
            catalogue.STREAM_STALLED,
            head=stream.first_replica.name,
            pause=round_seconds(pause),
            events=stream.delivered,
        )
