"""Finds streams that stand still and gets them going again.

A token passes through ten replicas. When one of them is lost, the first
replica only waits, and after two seconds it gives up; by then the client has
left. The first replica's report names the one that it waits for, so a stream
can be moved to another path while its other parts keep what they have read.
"""

import asyncio
from dataclasses import dataclass, field, replace

from ryelatch_core.events import catalogue, keep_running
from ryelatch_core.fleet import Replica, choose_path
from ryelatch_core.kernel import LagMeter, cancel_task
from ryelatch_node.ports import OrderResult
from ryelatch_node.relay._evacuation import MigrationPlanner
from ryelatch_node.relay._exchange import round_seconds
from ryelatch_node.relay._mover import StreamMigrator
from ryelatch_node.relay._parts import RelayContext
from ryelatch_node.relay._probe import Prober
from ryelatch_node.relay._query import find_profile, make_path_query
from ryelatch_node.relay._silence import PathChecks
from ryelatch_node.relay._stream import FIRST_REPLICA_LOST, LiveStream
from ryelatch_node.tasks import Tasks

TICK_SECONDS = 0.02
"""How often streams are looked at; a third of a pause that counts."""

STALL_SECONDS = 0.4
"""A pause after which the first replica is asked what it waits for.

An event takes 40 to 100 ms, and some pass while long prompts are read. The
report lags by 200 ms, so asking sooner finds nothing.
"""

FIRST_STALL_SECONDS = 0.7
"""The same before the first event, when the whole prompt is read."""

SILENT_SECONDS = 0.07
"""A pause after which the replicas of a path are tried, at least.

Callers notice one of a quarter of a second, and most of that is what another
run needs to its first event.
"""

SILENT_GAPS = 1.6
"""The same, in usual pauses of the stream."""

SLOW_SHARE = 0.6
"""Share of the pause that a caller notices from which a path seems slow."""

FIRST_SILENT_SECONDS = 0.25
"""The same before a stream has a usual pause, as its prompt is read."""

MOVE_PAUSE_SECONDS = 0.15
"""Pause between tries to move a stream that stands still."""

REFUSED_PAUSE_SECONDS = 0.2
"""Added to that pause after a move that was refused; orders are priced."""

PATIENCE_SECONDS = 1.1
"""How long a stream may stand still for a repair in its own zone.

An empty replica loads four layers in 0.7 s, and a move to it then costs the
reading of those four. A new run elsewhere reads everything again, and sixty
streams that do so at once fill the zones that are left.
"""

GIVE_UP_SECONDS = 1.3
"""A pause after which a stream is resumed on another path.

Clients leave after two seconds without an event; a new run needs about half
a second to its first one.
"""

_REPORT_SECONDS = 0.4


@dataclass(eq=False)
class StreamWatch:
    """Looks after the streams of this node."""

    context: RelayContext
    prober: Prober
    streams: set[LiveStream] = field(default_factory=set)
    _asked: dict[str, float] = field(default_factory=dict)
    _tasks: Tasks = field(init=False)
    _ticker: 'asyncio.Task[None] | None' = None
    _lag: LagMeter = field(default_factory=LagMeter)

    def __post_init__(self) -> None:
        """Make what moves streams."""
        self._mover = StreamMigrator(self.context, self.prober)
        self._evacuation = MigrationPlanner(self.context.replicas)
        self._checks = PathChecks(self.context)
        self._tasks = Tasks(self.context.log, 'streams')

    async def start(self) -> None:
        """Begin to look."""
        self._ticker = asyncio.create_task(
            keep_running('streams', self._run, self.context.log)
        )

    async def stop(self) -> None:
        """Stop looking."""
        await cancel_task(self._ticker)
        await self.prober.stop()
        await self._checks.stop()
        await self.context.paces.stop()
        await self._tasks.stop()

    async def _run(self) -> None:
        clock = self.context.clock
        while True:
            due = clock.monotonic() + TICK_SECONDS
            await asyncio.sleep(TICK_SECONDS)
            # Events that came while this process stood still lie unread, and
            # each stream would seem to have stood still for as long.
            if not self._lag.record(due, clock.monotonic()):
                self._look()

    def _look(self) -> None:
        now = self.context.clock.monotonic()
        lost = self.context.replicas.list_unreachable()
        for stream in tuple(self.streams):
            if not stream.moving and not stream.reason:
                self._look_at(stream, now, lost)

    def _look_at(
        self,
        stream: LiveStream,
        now: float,
        lost: frozenset[str],
    ) -> None:
        pause = now - stream.progress
        silence = _find_silence(stream)
        if lost and pause > silence and stream.uses(lost):
            if now - stream.last_move_attempt > MOVE_PAUSE_SECONDS:
                self._tasks.spawn(self._move(stream, pause))
            return
        if pause > silence * self._checks.patience:
            self._checks.check(stream.path)
        if pause > max(silence, stream.request.route.gap * SLOW_SHARE):
            self.context.paces.check(stream.path)
        if pause > _limit(stream):
            _tell_stall(stream, pause)
            self._ask(stream.head, now)
        else:
            self._evacuate(stream, now)
        if pause > GIVE_UP_SECONDS and self._may_resume(stream):
            stream.interrupt('silent')

    def _ask(self, head: Replica, now: float) -> None:
        """Ask a first replica for its report, once for all its streams."""
        if now - self._asked.get(head.name, 0) < _REPORT_SECONDS / 2:
            return
        self._asked[head.name] = now
        self._tasks.spawn(self._consult(head))

    async def _consult(self, head: Replica) -> None:
        if not await self.context.throttle.acquire_permit(head):
            return
        sent = self.context.clock.monotonic()
        try:
            async with asyncio.timeout(_REPORT_SECONDS):
                report = await self.context.orders.read_report(head)
        except TimeoutError:
            self._lag.record(sent + _REPORT_SECONDS, self.context.clock.monotonic())
            if self._lag.was_late(sent):
                # The answer may lie unread. Its streams still stand still if
                # it was lost, and it is asked again at once.
                self.context.log.record(
                    catalogue.REPORT_DOUBTFUL, replica=head.name
                )
                return
            report = None
        if report is None:
            self.context.replicas.suspect(head, 'no report', full=False)
            self._leave_head(head)
            return
        for stream in self.streams:
            address = report.stalled.get(stream.request.terms.identity)
            if address is not None and stream.head.name == head.name:
                self._blame(stream, address)

    def _blame(self, stream: LiveStream, address: str) -> None:
        """Keep away from the part of a stream's path that it waits for.

        The replica that has this address by now may be another one.
        """
        for stage in stream.path[1:]:
            if stage.replica.address == address:
                stream.delayed_by_loss = True
                self.context.replicas.suspect(stage.replica, 'stalls', full=False)

    def _leave_head(self, head: Replica) -> None:
        for stream in self.streams:
            if stream.head.name == head.name and stream.request.repeatable:
                stream.interrupt(FIRST_REPLICA_LOST)

    async def _move(self, stream: LiveStream, pause: float) -> None:
        """Move a stream off the replicas that are unreachable.

        Inside its zone: across zones the activations of all its tokens would
        cross, and those of sixty others that stand still as well. It crosses
        only where it can't be resumed on a path of another zone.
        """
        lost = self.context.replicas.list_unreachable()
        if stream.head.name in lost:
            stream.interrupt(FIRST_REPLICA_LOST)
            return
        stream.moving = True
        stream.delayed_by_loss = True
        stream.last_move_attempt = self.context.clock.monotonic()
        resumable = self._may_resume(stream)
        try:
            result = await self._mover.move(stream, lost, crosses=not resumable)
        finally:
            stream.moving = False
        if result in {OrderResult.BEGUN, OrderResult.HELD}:
            return
        stream.last_move_attempt += REFUSED_PAUSE_SECONDS
        # A new run may still come before its caller notices.
        noticed = pause >= stream.request.route.gap
        waits = result is None and noticed and pause < PATIENCE_SECONDS
        if waits and self._is_repair_near(stream):
            return
        # Without a place here a client still has one elsewhere: it sees the
        # break and comes back for the rest, if that is before it gives up.
        hopeless = stream.request.repeatable and pause > GIVE_UP_SECONDS
        if resumable or hopeless:
            stream.interrupt(f'move {result.value}' if result else 'no path')

    def _may_resume(self, stream: LiveStream) -> bool:
        """Whether a new run may go on with a stream whose replicas live.

        Streams that were cut off when no retry was left, or no other path,
        were lost though their replicas would have gone on with them: after
        one crash 38 of 69.
        """
        request = stream.request
        if self.context.budget.left < 1 or not self._has_place(stream):
            return False
        # The run in progress counts, though nothing of it may have come yet.
        ran = stream.exchange.ran + int(not stream.begun)
        return request.repeatable and ran < request.route.max_attempts

    def _has_place(self, stream: LiveStream) -> bool:
        """Whether there is a path for a new run, in whichever zone."""
        service = stream.request.service
        lost = self.context.replicas.list_unreachable()
        query = make_path_query(self.context, stream.request, lost)
        if query is None:
            return False
        whole = replace(query, crosses=False)
        offered = self.context.replicas.list_service(service)
        return bool(choose_path(offered, whole))

    def _is_repair_near(self, stream: LiveStream) -> bool:
        """Whether an empty replica may hold the lost layers in time."""
        service = stream.request.service
        profile = find_profile(self.context, service)
        if profile is None:
            return False
        alive = self.context.replicas.list_reachable(service)
        names = {one.name for one in alive}
        lost = [
            stage for stage in stream.path if stage.replica.name not in names
        ]
        layers = max((len(stage.layers) for stage in lost), default=0)
        seconds = layers / profile.layers * profile.load_seconds
        spared = any(
            one.zone == stream.head.zone and one.layers is None for one in alive
        )
        return spared and seconds < PATIENCE_SECONDS

    def _evacuate(self, stream: LiveStream, now: float) -> None:
        """Move a stream that still flows off replicas that are about to go.

        A first replica that leaves takes no more orders. Its streams are let
        be, though they hold up others that give up layers: one that flows and
        is cut off for that has no place elsewhere for certain.
        """
        if self._evacuation.is_leaving(stream.head):
            return
        retreating = self._evacuation.find_replicas_to_leave(stream, now)
        if retreating:
            self._tasks.spawn(self._move_off(stream, retreating))

    async def _move_off(
        self,
        stream: LiveStream,
        retreating: frozenset[str],
    ) -> None:
        stream.moving = True
        try:
            await self._mover.move(stream, retreating, crosses=stream.crosses)
        finally:
            stream.moving = False


def _tell_stall(stream: LiveStream, pause: float) -> None:
    """Record a pause once, however often the stream is looked at."""
    if not stream.told:
        stream.told = True
        stream.exchange.record(
            catalogue.STREAM_STALLED,
            head=stream.head.name,
            pause=round_seconds(pause),
            events=stream.delivered,
        )


def _find_silence(stream: LiveStream) -> float:
    """Tell after which pause a stream is taken to stand still."""
    if stream.first_event is None or stream.delivered < 2:
        return FIRST_SILENT_SECONDS
    flowed = stream.progress - stream.first_event
    gap = flowed / (stream.delivered - 1)
    return max(SILENT_SECONDS, SILENT_GAPS * gap)


def _limit(stream: LiveStream) -> float:
    return STALL_SECONDS if stream.begun else FIRST_STALL_SECONDS
