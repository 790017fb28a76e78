"""Requests to a model that is split over replicas."""

import asyncio
import enum
from dataclasses import dataclass, field, replace

from ryelatch_core.events import catalogue
from ryelatch_core.fleet import (
    NO_LOAD,
    Replica,
    Stage,
    choose_path,
)
from ryelatch_core.streams import EventCutter, StreamError
from ryelatch_node.ports import Dispatch
from ryelatch_node.relay._errors import (
    AnswerBroken,
    SendError,
    SendErrorKind,
)
from ryelatch_node.relay._exchange import Exchange, Inquiry, round_seconds
from ryelatch_node.relay._parts import Parts
from ryelatch_node.relay._probe import Prober
from ryelatch_node.relay._query import make_query
from ryelatch_node.relay._stream import HEAD_LOST, LiveStream
from ryelatch_node.relay._upstream import Answer
from ryelatch_node.relay._watch import StreamWatch

MOST_SENDS = 5
"""Tries of one request, whatever became of them.

Each costs up to a second, and the client's patience is two without an event;
more are of use only where replicas refuse at once.
"""

REPAIR_SECONDS = 2.5
"""When a refused client may come back where layers are missing.

A loss shows after 0.5 s, and eight layers load in 1.4 s.
"""

ROOM_SECONDS = 1.0
"""When a refused client may come back where all paths are full.

A usual answer takes two seconds, so of many in progress some end by then.
"""

_STALL_SHARE = 0.75
_SERVER_ERROR = 500
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_OK = 200


class _Next(enum.Enum):
    """What follows after a try."""

    DONE = 'done'
    AGAIN = 'again'


@dataclass
class _Progress:
    """What the tries of a request have brought so far.

    :param lost: whether one of them may have run without an answer.
    :param held: a replica's own failure, passed on if nothing better comes.
    :param left: first replicas whose runs this node cut off.
    """

    cutter: EventCutter
    left: set[str] = field(default_factory=set)
    lost: bool = False
    held: tuple[Answer, bytes] | None = None


async def relay_model(
    parts: Parts,
    watch: StreamWatch,
    exchange: Exchange,
    inquiry: Inquiry,
) -> None:
    """Send a request on a path, and on others until its answer is whole.

    :raises AnswerBroken: if it ends in the middle for good.
    """
    progress = _Progress(EventCutter(inquiry.terms.last_event))
    while _may_send(parts, exchange, inquiry, progress):
        path = _choose(parts, exchange, inquiry, progress)
        if not path:
            break
        step = await _try_path(parts, watch, exchange, inquiry, path, progress)
        if step is _Next.DONE:
            return
    await _give_up(parts, exchange, inquiry, progress)


def _may_send(
    parts: Parts,
    exchange: Exchange,
    inquiry: Inquiry,
    progress: _Progress,
) -> bool:
    if not exchange.sends:
        return True
    if exchange.sends >= MOST_SENDS:
        return False
    if exchange.ran >= inquiry.route.max_attempts:
        return False
    if progress.lost and not inquiry.repeatable:
        return False
    return parts.budget.spend()


def _choose(
    parts: Parts,
    exchange: Exchange,
    inquiry: Inquiry,
    progress: _Progress,
) -> tuple[Stage, ...]:
    # A path that stood still through one first replica would most likely do
    # so again; where there is no other the second choice below takes it.
    avoided = parts.replicas.list_suspects() | progress.left
    query = make_query(parts, inquiry, avoided)
    if query is None:
        return ()
    offered = parts.replicas.list_service(inquiry.service)
    failing = parts.failures.list_failing(parts.clock.monotonic())
    sound = replace(query, avoid=avoided | failing, crosses=False)
    path = choose_path(offered, sound) if failing else ()
    path = path or choose_path(offered, query)
    if path or not exchange.started:
        return path
    # A stream whose beginning the client has is lost if it goes nowhere;
    # a replica that had no room a moment ago may have some by now.
    bold = replace(query, avoid=parts.replicas.list_unreachable())
    return choose_path(offered, bold)


async def _try_path(
    parts: Parts,
    watch: StreamWatch,
    exchange: Exchange,
    inquiry: Inquiry,
    path: tuple[Stage, ...],
    progress: _Progress,
) -> _Next:
    tokens = inquiry.terms.prompt + inquiry.terms.answer // 2
    exchange.sends += 1
    _log_send(parts, exchange, inquiry, path, progress)
    scope = asyncio.timeout(None)
    now = parts.clock.monotonic()
    stream = LiveStream(exchange, inquiry, path, now, now, tokens, scope)
    parts.load.add(path, tokens, now)
    watch.streams.add(stream)
    try:
        async with scope:
            return await _run(parts, watch.prober, stream, progress)
    except TimeoutError:
        _note_failure(
            parts, stream, progress, SendErrorKind.LOST, stream.reason
        )
    except SendError as error:
        _note_failure(parts, stream, progress, error.kind, error.reason)
    except StreamError as error:
        _note_failure(
            parts, stream, progress, SendErrorKind.SPOILED, str(error)
        )
    finally:
        watch.streams.discard(stream)
        parts.load.remove(stream.path, tokens, parts.clock.monotonic())
    return _Next.AGAIN


def _log_send(
    parts: Parts,
    exchange: Exchange,
    inquiry: Inquiry,
    path: tuple[Stage, ...],
    progress: _Progress,
) -> None:
    kind = catalogue.EXCHANGE_SENT
    if exchange.started:
        kind = catalogue.STREAM_RESUMED
    exchange.record(
        kind,
        path=[
            [stage.replica.name, stage.layers.first, stage.layers.end]
            for stage in path
        ],
        service=inquiry.service,
        attempt=exchange.sends,
        left=round_seconds(inquiry.ends - parts.clock.monotonic()),
        version=inquiry.version,
        last_event=progress.cutter.last,
        avoided=len(parts.replicas.list_suspects()),
    )


async def _run(
    parts: Parts,
    prober: Prober,
    stream: LiveStream,
    progress: _Progress,
) -> _Next:
    inquiry = stream.inquiry
    dispatch = Dispatch(
        stream.head.name,
        inquiry.ends - parts.clock.monotonic(),
        inquiry.account,
        stream.path,
        progress.cutter.last,
    )
    async with parts.upstreams.send(
        stream.head,
        inquiry.method,
        inquiry.target,
        parts.wire.write_request(inquiry.headers, dispatch),
        inquiry.body,
        identity=inquiry.terms.identity,
        repeatable=inquiry.repeatable,
    ) as answer:
        if answer.terms.not_run:
            _note_refusal(parts, prober, stream, answer)
            return _Next.AGAIN
        if not answer.terms.signed:
            raise SendError(SendErrorKind.SPOILED, 'unsigned answer')
        if answer.status != _OK:
            return await _take_failure(parts, stream, answer, progress)
        return await _pass_events(parts, stream, answer, progress)


def _note_refusal(
    parts: Parts,
    prober: Prober,
    stream: LiveStream,
    answer: Answer,
) -> None:
    """Keep away from the replica that a refusal names.

    A refusal that took long comes from a path that waited for a lost
    replica; one that came at once, from one without room.
    """
    waited = parts.clock.monotonic() - stream.progress
    stalled = waited > parts.startup.stall_seconds * _STALL_SHARE
    fault = _find_fault(parts, stream, answer.terms.fault)
    reason = f'answered {answer.status}'
    parts.replicas.suspect(fault, reason, full=not stalled)
    prober.check(fault)
    stream.exchange.record(
        catalogue.EXCHANGE_FAILED,
        replica=fault.name,
        status=answer.status,
        outcome='not run',
        waited=round_seconds(waited),
    )


def _find_fault(parts: Parts, stream: LiveStream, address: str) -> Replica:
    named = (
        stage.replica
        for stage in stream.path
        if stage.replica.address == address
    )
    return next(named, stream.head)


async def _take_failure(
    parts: Parts,
    stream: LiveStream,
    answer: Answer,
    progress: _Progress,
) -> _Next:
    """Keep a replica's own failure, or pass it on where nothing follows."""
    body = await answer.read()
    stream.exchange.ran += 1
    stream.exchange.record(
        catalogue.EXCHANGE_FAILED,
        replica=stream.head.name,
        status=answer.status,
        outcome='failed',
    )
    failed = answer.status >= _SERVER_ERROR
    _note_outcome(parts, stream, failed=failed)
    if failed and stream.inquiry.repeatable:
        # Failing at once it has room and looks fast; the next try would go
        # there again.
        progress.left.add(stream.head.name)
        progress.held = (answer, body)
        return _Next.AGAIN
    if stream.exchange.started:
        raise AnswerBroken
    await stream.exchange.answer(answer.status, answer.headers, body)
    return _Next.DONE


async def _pass_events(
    parts: Parts,
    stream: LiveStream,
    answer: Answer,
    progress: _Progress,
) -> _Next:
    cutter = progress.cutter
    cutter.restart()
    exchange = stream.exchange
    async for piece in answer.iterate():
        events = cutter.cut(piece)
        if not events:
            continue
        _note_progress(parts, stream)
        if not exchange.started:
            await exchange.start(answer.status, _strip_length(answer))
        await exchange.write(events)
    if cutter.torn:
        raise SendError(SendErrorKind.LOST, 'ended in the middle of an event')
    if not exchange.started:
        await exchange.start(answer.status, _strip_length(answer))
    await exchange.write(b'', more=False)
    parts.replicas.trust(stream.head)
    _note_outcome(parts, stream, failed=False)
    return _Next.DONE


def _note_outcome(parts: Parts, stream: LiveStream, *, failed: bool) -> None:
    parts.failures.note(
        stream.head.name,
        stream.inquiry.route.name,
        parts.clock.monotonic(),
        failed=failed,
    )


def _strip_length(answer: Answer) -> list[tuple[bytes, bytes]]:
    """Leave out the length: a resumed stream may have another."""
    return [pair for pair in answer.headers if pair[0] != b'content-length']


def _note_progress(parts: Parts, stream: LiveStream) -> None:
    stream.progress = parts.clock.monotonic()
    stream.delivered += 1
    stream.told = False
    if not stream.begun:
        stream.begun = True
        stream.exchange.ran += 1
        parts.load.note_first(
            stream.path, stream.progress - stream.sent, stream.progress
        )
        stream.exchange.detail.setdefault(
            'first', round_seconds(stream.progress - stream.inquiry.arrived)
        )


def _note_failure(
    parts: Parts,
    stream: LiveStream,
    progress: _Progress,
    kind: SendErrorKind,
    reason: str,
) -> None:
    if kind is not SendErrorKind.UNSENT:
        progress.lost = True
    if stream.reason:
        progress.left.add(stream.head.name)
    if kind is SendErrorKind.LOST:
        stream.exchange.ran += _count_end(stream)
    stream.exchange.record(
        catalogue.EXCHANGE_FAILED,
        replica=stream.head.name,
        reason=reason,
        outcome=kind.value,
        events=stream.delivered,
        last_event=progress.cutter.last,
    )
    if kind is not SendErrorKind.SPOILED and reason != 'silent':
        parts.replicas.suspect(
            stream.head, reason, full=kind is not SendErrorKind.UNSENT
        )


def _count_end(stream: LiveStream) -> int:
    """Tell what the end of a try adds to the runs that the route allows.

    A run that ended with its first replica doesn't count. One that this node
    cut off does, and may have begun though nothing of it came: seven streams
    ran on three first replicas where two were allowed.
    """
    if stream.reason in {'', HEAD_LOST}:
        return -1 if stream.begun else 0
    return 0 if stream.begun else 1


async def _give_up(
    parts: Parts,
    exchange: Exchange,
    inquiry: Inquiry,
    progress: _Progress,
) -> None:
    if exchange.started:
        raise AnswerBroken
    if progress.held:
        answer, body = progress.held
        await exchange.answer(answer.status, answer.headers, body)
    elif progress.lost:
        await exchange.refuse(_BAD_GATEWAY, 'the answer was lost')
    else:
        missing = _misses_layers(parts, inquiry)
        await exchange.refuse(
            _UNAVAILABLE,
            'layers are missing' if missing else 'all paths are full',
            retry_after=REPAIR_SECONDS if missing else ROOM_SECONDS,
        )


def _misses_layers(parts: Parts, inquiry: Inquiry) -> bool:
    """Whether there is no path even without regard to room."""
    query = make_query(parts, inquiry, parts.replicas.list_unreachable())
    if query is None:
        return True
    unloaded = replace(query, own_tokens={}, load=NO_LOAD)
    offered = parts.replicas.list_service(inquiry.service)
    return not choose_path(offered, unloaded)
