"""Relays requests to a model whose layers are split over replicas."""

import asyncio
import enum

from ryelatch_core.events import catalogue
from ryelatch_core.fleet import Stage
from ryelatch_core.quarantine import CRASH_THRESHOLD
from ryelatch_core.streams import EventSplitter, StreamError
from ryelatch_node.ports import Dispatch
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._crashes import record_stream_crash
from ryelatch_node.relay._errors import (
    AnswerBroken,
    SendError,
    SendErrorKind,
)
from ryelatch_node.relay._exchange import (
    AdmittedRequest,
    Exchange,
    round_seconds,
)
from ryelatch_node.relay._forwarded_stream import (
    forward_stream,
    strip_length,
)
from ryelatch_node.relay._forwarding import (
    ForwardAttempts,
    refuse_forwarded,
)
from ryelatch_node.relay._permits import acquire_permit
from ryelatch_node.relay._places import (
    Place,
    choose_reserved_path,
    hold_place,
)
from ryelatch_node.relay._probe import Prober
from ryelatch_node.relay._progress import (
    Progress,
    handle_refusal,
    record_failure,
    record_outcome,
    record_progress,
)
from ryelatch_node.relay._refusals import refuse_unserved
from ryelatch_node.relay._stream import LiveStream
from ryelatch_node.relay._stream_scope import enter_stream_scope
from ryelatch_node.relay._upstream import Answer
from ryelatch_node.relay._verdicts import is_allowed, wait_for_verdict
from ryelatch_node.relay._watch import StreamWatch

MAX_SENDS = 5
"""Maximum attempts for one request, whatever their results.

An attempt takes up to one second, and clients give up after two seconds
without an event, so more attempts help only where replicas refuse at once.
"""

_SERVER_ERROR = 500
_BAD_GATEWAY = 502
_OK = 200


class _AttemptResult(enum.Enum):
    """Whether an attempt completed the request or another one may follow."""

    DONE = 'done'
    AGAIN = 'again'


async def relay_model(
    context: RelayContext,
    watch: StreamWatch,
    exchange: Exchange,
    request: AdmittedRequest,
) -> None:
    """Send a request along paths until one returns the complete answer.

    :raises AnswerBroken: if the answer has started and can't be completed.
    """
    progress = Progress(EventSplitter(request.terms.last_event))
    paid = False
    with hold_place(context, exchange) as place:
        while await _may_send(context, exchange, request, progress):
            paid = bool(exchange.sends)
            path = await _choose_path(
                context, exchange, request, progress, place
            )
            if not path or _became_refused(context, request):
                break
            paid = False
            result = await _attempt_path(
                context, watch, exchange, request, path, progress
            )
            if result is _AttemptResult.DONE:
                return
    attempts = ForwardAttempts(progress.may_have_run, paid)
    if await forward_stream(context, exchange, request, progress, attempts):
        return
    await _give_up(context, exchange, request, progress, place, attempts)


async def _choose_path(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    progress: Progress,
    place: Place,
) -> tuple[Stage, ...]:
    """Choose a path, and acquire a permit for its first replica if needed.

    A permit is needed if the replica has a rate limit or is in backoff. If it
    isn't granted, another path is chosen.

    :returns: the stages of the path; empty if there is no path.
    """
    while True:
        path = await choose_reserved_path(
            context, exchange, request, progress, place
        )
        if not path and exchange.started and context.crash_checks.pending:
            # Where only the connection was lost, the replica can go on.
            await context.crash_checks.wait()
            path = await choose_reserved_path(
                context, exchange, request, progress, place
            )
        if not path or await acquire_permit(context, exchange, path[0].replica):
            return path


async def _may_send(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    progress: Progress,
) -> bool:
    if exchange.sends and not _may_retry(exchange, request, progress):
        return False
    await wait_for_verdict(context, exchange, request)
    if not await is_allowed(context, exchange, request):
        return False
    return not exchange.sends or context.budget.spend()


def _became_refused(context: RelayContext, request: AdmittedRequest) -> bool:
    """Whether a request was refused while it waited for a path."""
    refused = context.quarantine.find_refused(request.fingerprint)
    return refused is not None and not request.trial


def _may_retry(
    exchange: Exchange, request: AdmittedRequest, progress: Progress
) -> bool:
    """Whether the attempts so far allow another one."""
    if exchange.sends >= MAX_SENDS:
        return False
    if exchange.ran >= request.route.max_attempts:
        return False
    if progress.may_have_run and not request.repeatable:
        return False
    return progress.crashes < CRASH_THRESHOLD


async def _attempt_path(
    context: RelayContext,
    watch: StreamWatch,
    exchange: Exchange,
    request: AdmittedRequest,
    path: tuple[Stage, ...],
    progress: Progress,
) -> _AttemptResult:
    tokens = request.terms.prompt + request.terms.answer // 2
    exchange.sends += 1
    _log_send(context, exchange, request, path, progress)
    scope = asyncio.timeout(None)
    now = context.clock.monotonic()
    stream = LiveStream(exchange, request, path, now, now, tokens, scope)
    context.returns.record_start(now)
    try:
        async with enter_stream_scope(context, watch.streams, stream):
            return await _run(context, watch.prober, stream, progress)
    except TimeoutError:
        interrupted = SendError(SendErrorKind.LOST, stream.reason)
        await _record_loss(context, stream, progress, interrupted)
    except SendError as error:
        await _record_loss(context, stream, progress, error)
    except StreamError as error:
        record_failure(
            context, stream, progress, SendErrorKind.INVALID, str(error)
        )
    return _AttemptResult.AGAIN


async def _record_loss(
    context: RelayContext,
    stream: LiveStream,
    progress: Progress,
    error: SendError,
) -> None:
    """Record an attempt that was lost, and whether its first replica crashed.

    A run that had just begun when the replica crashed counts as an attempt:
    it may have caused the crash, and then each attempt crashes one more
    replica.
    """
    record_failure(context, stream, progress, error.kind, error.reason)
    if await record_stream_crash(context, stream, error):
        progress.crashes += 1
        stream.exchange.ran += stream.answered


def _log_send(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    path: tuple[Stage, ...],
    progress: Progress,
) -> None:
    event = catalogue.EXCHANGE_SENT
    if exchange.started:
        event = catalogue.STREAM_RESUMED
    exchange.record(
        event,
        path=[
            [stage.replica.name, stage.layers.first, stage.layers.end]
            for stage in path
        ],
        service=request.service,
        digest=request.digest,
        attempt=exchange.sends,
        left=round_seconds(request.deadline - context.clock.monotonic()),
        version=request.version,
        last_event=progress.splitter.last,
        avoided=len(context.replicas.list_suspects()),
        list_age=round_seconds(context.replicas.freshness.age),
        missing=round_seconds(
            context.replicas.find_missing(
                path_stage.replica.name for path_stage in path
            )
        ),
    )


async def _run(
    context: RelayContext,
    prober: Prober,
    stream: LiveStream,
    progress: Progress,
) -> _AttemptResult:
    request = stream.request
    rank = context.reservations.find_rank(request.service, request.priority)
    dispatch = Dispatch(
        stream.first_replica.entry,
        request.deadline - context.clock.monotonic(),
        request.account,
        stream.path,
        progress.splitter.last,
        rank,
    )
    async with context.upstreams.send(
        stream.first_replica,
        request.method,
        request.target,
        context.wire.write_request(request.headers, dispatch),
        request.body,
        identity=request.terms.identity,
        repeatable=request.repeatable,
    ) as answer:
        stream.answered = True
        if answer.terms.not_run:
            handle_refusal(context, prober, stream, answer)
            return _AttemptResult.AGAIN
        if not answer.terms.signed:
            raise SendError(SendErrorKind.INVALID, 'unsigned answer')
        if answer.status != _OK:
            return await _handle_failure(context, stream, answer, progress)
        return await _forward_events(context, stream, answer, progress)


async def _handle_failure(
    context: RelayContext,
    stream: LiveStream,
    answer: Answer,
    progress: Progress,
) -> _AttemptResult:
    """Keep an error response of a replica, or pass it on to the client."""
    body = await answer.read()
    context.quarantine.record_failed_run(stream.request.fingerprint)
    stream.exchange.ran += 1
    stream.exchange.record(
        catalogue.EXCHANGE_FAILED,
        replica=stream.first_replica.name,
        status=answer.status,
        outcome='failed',
    )
    failed = answer.status >= _SERVER_ERROR
    record_outcome(context, stream, failed=failed)
    if failed and stream.request.repeatable:
        # A replica that fails at once looks fast and has free capacity, so
        # the next attempt would choose it again.
        progress.excluded.add(stream.first_replica.name)
        progress.failure_answer = (answer, body)
        return _AttemptResult.AGAIN
    if stream.exchange.started:
        raise AnswerBroken
    await stream.exchange.answer(answer.status, answer.headers, body)
    return _AttemptResult.DONE


async def _forward_events(
    context: RelayContext,
    stream: LiveStream,
    answer: Answer,
    progress: Progress,
) -> _AttemptResult:
    splitter = progress.splitter
    splitter.discard_partial()
    exchange = stream.exchange
    async for chunk in answer.iterate():
        events = splitter.feed(chunk)
        if not events:
            continue
        record_progress(context, stream)
        if not exchange.started:
            await exchange.start(answer.status, strip_length(answer.headers))
        await exchange.write(events)
    if splitter.has_partial:
        raise SendError(SendErrorKind.LOST, 'ended in the middle of an event')
    if not (answer.framed or stream.delivered):
        raise SendError(SendErrorKind.LOST, 'ended before the first event')
    if not exchange.started:
        await exchange.start(answer.status, strip_length(answer.headers))
    await exchange.write(b'', more=False)
    context.replicas.clear_suspicion(stream.first_replica)
    if answer.framed:
        # A replica that crashes between two events ends any other stream too.
        context.quarantine.record_run(stream.request.fingerprint)
    record_outcome(context, stream, failed=False)
    return _AttemptResult.DONE


async def _give_up(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    progress: Progress,
    place: Place,
    attempts: ForwardAttempts,
) -> None:
    if exchange.started:
        raise AnswerBroken
    if progress.failure_answer:
        answer, body = progress.failure_answer
        await exchange.answer(answer.status, answer.headers, body)
    elif progress.may_have_run:
        await exchange.refuse(_BAD_GATEWAY, 'the answer was lost')
    elif not await refuse_forwarded(context, exchange, request, attempts):
        await refuse_unserved(context, exchange, request, place)
