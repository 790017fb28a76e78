"""Finds streams that stand still and gets them going again.

A token passes through ten replicas. When one of them is lost, the first
replica only waits, and after two seconds it gives up; by then the client has
left. The first replica's report names the one that it waits for, so a stream
can be moved to another path while its other parts keep what they have read.
"""

import asyncio
import traceback
from collections.abc import Coroutine, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from ryelatch_core.events import catalogue, keep_running
from ryelatch_core.fleet import PathQuery, Replica, Stage, choose_path
from ryelatch_core.kernel import cancel_task
from ryelatch_node.ports import MoveAnswer, OrderResult
from ryelatch_node.relay._exchange import Exchange, Inquiry, round_seconds
from ryelatch_node.relay._parts import Parts
from ryelatch_node.relay._probe import Prober

TICK_SECONDS = 0.1
"""How often streams are looked at; a tenth of what a move takes."""

STALL_SECONDS = 0.4
"""A pause after which the first replica is asked what it waits for.

An event takes 40 to 100 ms, and some pass while long prompts are read. The
report lags by 200 ms, so asking sooner finds nothing.
"""

FIRST_STALL_SECONDS = 0.7
"""The same before the first event, when the whole prompt is read."""

KNOWN_STALL_SECONDS = 0.15
"""The same for a path with a replica that is known to be unreachable."""

GIVE_UP_SECONDS = 1.3
"""A pause after which a stream is resumed on another path.

Clients leave after two seconds without an event; a new run needs about half
a second to its first one.
"""

MOVE_TRIES = 3
"""Paths that a stream is offered before it is resumed as a new run.

Each costs two milliseconds, a new run the reading of all tokens so far.
"""

_REPORT_SECONDS = 0.4


@dataclass(eq=False)
class LiveStream:
    """A stream in progress.

    :param sent: when it was sent on its first path of this try.
    :param progress: when its last event came, or it was sent or moved.
    :param tokens: for which memory is taken on its path.
    :param told: whether its pause has been recorded.
    :param scope: the timeout of its reading; moved up to interrupt it.
    """

    exchange: Exchange
    inquiry: Inquiry
    path: tuple[Stage, ...]
    sent: float
    progress: float
    tokens: int
    scope: asyncio.Timeout
    begun: bool = False
    moving: bool = False
    told: bool = False
    reason: str = ''
    delivered: int = 0

    @property
    def head(self) -> Replica:
        """The first replica of its path."""
        return self.path[0].replica

    def interrupt(self, reason: str) -> None:
        """End its reading, so that it goes on elsewhere."""
        if not self.reason:
            self.reason = reason
            self.scope.reschedule(asyncio.get_running_loop().time())

    def uses(self, names: Iterable[str]) -> bool:
        """Whether its path has one of some replicas."""
        wanted = set(names)
        return any(stage.replica.name in wanted for stage in self.path)


@dataclass(eq=False)
class StreamWatch:
    """Looks after the streams of this node."""

    parts: Parts
    prober: Prober
    streams: set[LiveStream] = field(default_factory=set)
    _asked: dict[str, float] = field(default_factory=dict)
    _tasks: set['asyncio.Task[None]'] = field(default_factory=set)
    _ticker: 'asyncio.Task[None] | None' = None

    async def start(self) -> None:
        """Begin to look."""
        self._ticker = asyncio.create_task(
            keep_running('streams', self._run, self.parts.log)
        )

    async def stop(self) -> None:
        """Stop looking."""
        await cancel_task(self._ticker)
        await self.prober.stop()
        for task in tuple(self._tasks):
            await cancel_task(task)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            if self.streams:
                self._look()

    def _look(self) -> None:
        now = self.parts.clock.monotonic()
        lost = self.parts.replicas.list_unreachable()
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
        if lost and pause > KNOWN_STALL_SECONDS and stream.uses(lost):
            self._spawn(self._move(stream))
        elif pause > _limit(stream):
            _tell_stall(stream, pause)
            self._ask(stream.head, now)
        if pause > GIVE_UP_SECONDS and stream.inquiry.repeatable:
            stream.interrupt('silent')

    def _ask(self, head: Replica, now: float) -> None:
        """Ask a first replica for its report, once for all its streams."""
        if now - self._asked.get(head.name, 0) < _REPORT_SECONDS / 2:
            return
        self._asked[head.name] = now
        self._spawn(self._consult(head))

    async def _consult(self, head: Replica) -> None:
        try:
            async with asyncio.timeout(_REPORT_SECONDS):
                report = await self.parts.orders.read_report(head)
        except TimeoutError:
            report = None
        if report is None:
            self.parts.replicas.suspect(head, 'no report', full=False)
            self._leave_head(head)
            return
        for address in set(report.stalled.values()):
            culprit = self.parts.replicas.find_address(address)
            if culprit is not None and culprit.name != head.name:
                self.parts.replicas.suspect(culprit, 'stalls', full=False)

    def _leave_head(self, head: Replica) -> None:
        for stream in self.streams:
            if stream.head.name == head.name and stream.inquiry.repeatable:
                stream.interrupt('first replica lost')

    async def _move(self, stream: LiveStream) -> None:
        """Move a stream off the replicas that are unreachable."""
        stream.moving = True
        lost = self.parts.replicas.list_unreachable()
        try:
            if stream.head.name in lost:
                result = OrderResult.MISSING
            else:
                result = await self._order(stream, lost)
        finally:
            stream.moving = False
        if result in {OrderResult.BEGUN, OrderResult.HELD}:
            return
        if stream.inquiry.repeatable:
            stream.interrupt(f'move {result.value}')

    async def _order(
        self,
        stream: LiveStream,
        lost: frozenset[str],
    ) -> OrderResult:
        """Order a move, and another if a part of the path has no room."""
        result = OrderResult.CONFLICT
        for _ in range(MOVE_TRIES):
            path = self._replan(stream, lost)
            if not path:
                break
            moved = await self._order_once(stream, path, lost)
            result = moved.result
            if result is not OrderResult.CONFLICT or not moved.fault:
                break
            self._blame(stream, path, moved.fault)
        return result

    async def _order_once(
        self,
        stream: LiveStream,
        path: tuple[Stage, ...],
        lost: frozenset[str],
    ) -> MoveAnswer:
        identity = stream.inquiry.terms.identity
        pause = self.parts.clock.monotonic() - stream.progress
        moved = await self.parts.orders.move(stream.head, identity, path)
        stream.exchange.record(
            catalogue.STREAM_MOVED,
            avoiding=sorted(lost),
            result=moved.result.value,
            fault=moved.fault,
            pause=round_seconds(pause),
        )
        if moved.result in {OrderResult.BEGUN, OrderResult.HELD}:
            self.parts.load.remove(stream.path, stream.tokens)
            self.parts.load.add(path, stream.tokens)
            stream.path = path
            stream.progress = self.parts.clock.monotonic()
        return moved

    def _blame(
        self,
        stream: LiveStream,
        path: tuple[Stage, ...],
        address: str,
    ) -> None:
        """Keep away from the replica that a refused move names."""
        for stage in path:
            replica = stage.replica
            if replica.address == address and replica != stream.head:
                self.parts.replicas.suspect(replica, 'no room', full=True)
                self.prober.check(replica)

    def _replan(
        self,
        stream: LiveStream,
        lost: frozenset[str],
    ) -> tuple[Stage, ...]:
        inquiry = stream.inquiry
        query = make_query(
            self.parts, inquiry, lost | self.parts.replicas.list_suspects()
        )
        if query is None:
            return ()
        fixed = replace(query, head=stream.path[0])
        offered = self.parts.replicas.list_service(inquiry.service)
        if stream.head.name not in {one.name for one in offered}:
            offered.append(stream.head)
        return choose_path(offered, fixed)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(self._guard(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _guard(self, work: Coroutine[Any, Any, None]) -> None:
        try:
            await work
        except Exception:
            # Nobody awaits it; without the line its streams would stand
            # still until they are given up, and nothing would tell why.
            self.parts.log.record(
                catalogue.TASK_CRASHED,
                part='streams',
                trace=traceback.format_exc(),
            )


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


def _limit(stream: LiveStream) -> float:
    return STALL_SECONDS if stream.begun else FIRST_STALL_SECONDS


def make_query(
    parts: Parts,
    inquiry: Inquiry,
    avoid: frozenset[str],
) -> PathQuery | None:
    """Say what a path is wanted for.

    :returns: nothing if the service has no model.
    """
    table = parts.configuration.table
    terms = table and table.configuration.services.get(inquiry.service)
    if not terms or terms.model is None:
        return None
    return PathQuery(
        profile=terms.model,
        zone=parts.startup.zone,
        prompt=inquiry.terms.prompt,
        answer=expect_answer(inquiry, terms.model.usual_answer),
        draw=parts.draw,
        nodes=parts.nodes,
        avoid=avoid,
        requests=parts.load.requests,
        tokens=parts.load.tokens,
        excess=parts.load.list_excess(parts.clock.monotonic()),
    )


def expect_answer(inquiry: Inquiry, usual: float) -> int:
    """Estimate the tokens of an answer.

    The client's guess is right at the median and often far off, so it is
    taken half and half with the usual length.
    """
    most = inquiry.terms.answer or int(usual)
    hint = inquiry.terms.hint
    guess = usual if hint is None else (hint + usual) / 2
    return max(1, min(most, int(guess)))
