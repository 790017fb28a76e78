"""Requests to a model that is split over replicas."""

import asyncio
import enum

from ryelatch_core.events import catalogue
from ryelatch_core.fleet import Stage
from ryelatch_core.quarantine import CRASH_THRESHOLD
from ryelatch_core.streams import EventSplitter, StreamError
from ryelatch_node.ports import Dispatch
from ryelatch_node.relay._choice import (
    choose_request_path,
    list_first_replicas,
    misses_layers,
)
from ryelatch_node.relay._ends import record_stream_crash
from ryelatch_node.relay._errors import (
    AnswerBroken,
    SendError,
    SendErrorKind,
)
from ryelatch_node.relay._exchange import Exchange, AdmittedRequest, round_seconds
from ryelatch_node.relay._parts import RelayContext
from ryelatch_node.relay._permits import find_retry_after, acquire_permit
from ryelatch_node.relay._probe import Prober
from ryelatch_node.relay._progress import (
    Progress,
    note_failure,
    note_outcome,
    record_progress,
    note_refusal,
)
from ryelatch_node.relay._stream import LiveStream
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

_SERVER_ERROR = 500
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_OK = 200


class _Next(enum.Enum):
    """What follows after a try."""

    DONE = 'done'
    AGAIN = 'again'


async def relay_model(
    context: RelayContext,
    watch: StreamWatch,
    exchange: Exchange,
    request: AdmittedRequest,
) -> None:
    """Send a request on a path, and on others until its answer is whole.

    :raises AnswerBroken: if it ends in the middle for good.
    """
    progress = Progress(EventSplitter(request.terms.last_event))
    while _may_send(context, exchange, request, progress):
        path = await _find_path(context, exchange, request, progress)
        if not path:
            break
        step = await _try_path(context, watch, exchange, request, path, progress)
        if step is _Next.DONE:
            return
    await _give_up(context, exchange, request, progress)


async def _find_path(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    progress: Progress,
) -> tuple[Stage, ...]:
    """Choose a path whose first replica takes one more request."""
    while True:
        path = choose_request_path(context, exchange, request, progress)
        if not path or await acquire_permit(context, exchange, path[0].replica):
            return path


def _may_send(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    progress: Progress,
) -> bool:
    if not exchange.sends:
        return True
    if exchange.sends >= MOST_SENDS:
        return False
    if exchange.ran >= request.route.max_attempts:
        return False
    if progress.lost and not request.repeatable:
        return False
    if progress.ends >= CRASH_THRESHOLD:
        return False
    if context.quarantine.find_refused(request.digest):
        return False
    return context.budget.spend()


async def _try_path(
    context: RelayContext,
    watch: StreamWatch,
    exchange: Exchange,
    request: AdmittedRequest,
    path: tuple[Stage, ...],
    progress: Progress,
) -> _Next:
    tokens = request.terms.prompt + request.terms.answer // 2
    exchange.sends += 1
    _log_send(context, exchange, request, path, progress)
    scope = asyncio.timeout(None)
    now = context.clock.monotonic()
    stream = LiveStream(exchange, request, path, now, now, tokens, scope)
    context.load.add(path, tokens, now)
    context.windows.add(stream.head.name)
    context.accounts.add(request.account)
    context.returns.record_start(now)
    watch.streams.add(stream)
    try:
        async with scope:
            return await _run(context, watch.prober, stream, progress)
    except TimeoutError:
        interrupted = SendError(SendErrorKind.LOST, stream.reason)
        await _note_lost(context, stream, progress, interrupted)
    except SendError as error:
        await _note_lost(context, stream, progress, error)
    except StreamError as error:
        note_failure(context, stream, progress, SendErrorKind.INVALID, str(error))
    finally:
        stream.finished = True
        watch.streams.discard(stream)
        context.windows.remove(stream.head.name)
        context.accounts.remove(request.account)
        context.load.remove(stream.path, tokens, context.clock.monotonic())
    return _Next.AGAIN


async def _note_lost(
    context: RelayContext,
    stream: LiveStream,
    progress: Progress,
    error: SendError,
) -> None:
    """Note that a try ended without an answer, and whether its replica did.

    A run that had just begun as its replica ended counts among the attempts:
    it may be why, and each attempt takes another replica along.
    """
    note_failure(context, stream, progress, error.kind, error.reason)
    if await record_stream_crash(context, stream, error):
        progress.ends += 1
        stream.exchange.ran += stream.answered


def _log_send(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    path: tuple[Stage, ...],
    progress: Progress,
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
        service=request.service,
        digest=request.digest,
        attempt=exchange.sends,
        left=round_seconds(request.ends - context.clock.monotonic()),
        version=request.version,
        last_event=progress.splitter.last,
        avoided=len(context.replicas.list_suspects()),
        list_age=round_seconds(context.replicas.freshness.age),
        missing=round_seconds(
            context.replicas.find_missing(one.replica.name for one in path)
        ),
    )


async def _run(
    context: RelayContext,
    prober: Prober,
    stream: LiveStream,
    progress: Progress,
) -> _Next:
    request = stream.request
    dispatch = Dispatch(
        stream.head.entry,
        request.ends - context.clock.monotonic(),
        request.account,
        stream.path,
        progress.splitter.last,
    )
    async with context.upstreams.send(
        stream.head,
        request.method,
        request.target,
        context.wire.write_request(request.headers, dispatch),
        request.body,
        identity=request.terms.identity,
        repeatable=request.repeatable,
    ) as answer:
        stream.answered = True
        if answer.terms.not_run:
            note_refusal(context, prober, stream, answer)
            return _Next.AGAIN
        if not answer.terms.signed:
            raise SendError(SendErrorKind.INVALID, 'unsigned answer')
        if answer.status != _OK:
            return await _take_failure(context, stream, answer, progress)
        return await _pass_events(context, stream, answer, progress)


async def _take_failure(
    context: RelayContext,
    stream: LiveStream,
    answer: Answer,
    progress: Progress,
) -> _Next:
    """Keep a replica's own failure, or pass it on where nothing follows."""
    body = await answer.read()
    context.quarantine.record_run(stream.request.digest)
    stream.exchange.ran += 1
    stream.exchange.record(
        catalogue.EXCHANGE_FAILED,
        replica=stream.head.name,
        status=answer.status,
        outcome='failed',
    )
    failed = answer.status >= _SERVER_ERROR
    note_outcome(context, stream, failed=failed)
    if failed and stream.request.repeatable:
        # Failing at once it has room and looks fast; the next try would go
        # there again.
        progress.excluded.add(stream.head.name)
        progress.held = (answer, body)
        return _Next.AGAIN
    if stream.exchange.started:
        raise AnswerBroken
    await stream.exchange.answer(answer.status, answer.headers, body)
    return _Next.DONE


async def _pass_events(
    context: RelayContext,
    stream: LiveStream,
    answer: Answer,
    progress: Progress,
) -> _Next:
    splitter = progress.splitter
    splitter.discard_partial()
    exchange = stream.exchange
    async for piece in answer.iterate():
        events = splitter.feed(piece)
        if not events:
            continue
        record_progress(context, stream)
        if not exchange.started:
            await exchange.start(answer.status, _strip_length(answer))
        await exchange.write(events)
    if splitter.has_partial:
        raise SendError(SendErrorKind.LOST, 'ended in the middle of an event')
    if not exchange.started:
        await exchange.start(answer.status, _strip_length(answer))
    await exchange.write(b'', more=False)
    context.replicas.clear_suspicion(stream.head)
    context.quarantine.record_run(stream.request.digest)
    note_outcome(context, stream, failed=False)
    return _Next.DONE


def _strip_length(answer: Answer) -> list[tuple[bytes, bytes]]:
    """Leave out the length: a resumed stream may have another."""
    return [pair for pair in answer.headers if pair[0] != b'content-length']


async def _give_up(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    progress: Progress,
) -> None:
    if exchange.started:
        raise AnswerBroken
    if progress.held:
        answer, body = progress.held
        await exchange.answer(answer.status, answer.headers, body)
    elif progress.lost:
        await exchange.refuse(_BAD_GATEWAY, 'the answer was lost')
    else:
        await _refuse(context, exchange, request)


async def _refuse(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
) -> None:
    """Tell a client that its request did not run, and when to come back."""
    missing = misses_layers(context, request)
    wait = REPAIR_SECONDS if missing else _find_turn(context, request)
    await exchange.refuse(
        _UNAVAILABLE,
        'layers are missing' if missing else 'all paths are full',
        retry_after=wait,
        open=len(context.windows.requests),
        full=len(context.windows.list_closed()),
    )


def _find_turn(context: RelayContext, request: AdmittedRequest) -> float:
    """Tell a refused client when a place for it is expected."""
    now = context.clock.monotonic()
    turn = context.returns.assign_delay(now, request.ends - now, context.draw())
    return max(turn, find_retry_after(context, list_first_replicas(context, request)))
