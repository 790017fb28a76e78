"""One run of a request along a path of replicas."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial

from ryelatch_core.events import catalogue
from ryelatch_core.fleet import Stage
from ryelatch_core.streams import EventSplitter, StreamError
from ryelatch_node.ports import Dispatch
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._crashes import (
    expect_stream_crash,
    record_stream_crash,
)
from ryelatch_node.relay._end_checks import AnswerEnd
from ryelatch_node.relay._errors import (
    REPLICA_LEFT,
    AnswerBroken,
    SendError,
    SendErrorKind,
)
from ryelatch_node.relay._exchange import (
    AdmittedRequest,
    Exchange,
    round_seconds,
)
from ryelatch_node.relay._forwarded_stream import strip_length
from ryelatch_node.relay._hedges import AttemptResult
from ryelatch_node.relay._probe import Prober
from ryelatch_node.relay._progress import (
    Progress,
    handle_refusal,
    record_failure,
    record_outcome,
    record_progress,
)
from ryelatch_node.relay._stream import LiveStream
from ryelatch_node.relay._stream_scope import enter_stream_scope
from ryelatch_node.relay._upstream import Answer, UpstreamRequest
from ryelatch_node.relay._watch import StreamWatch

_SERVER_ERROR = 500
_OK = 200


@dataclass(frozen=True)
class Relaying:
    """A request that is being relayed.

    :param start_hedge: starts another run beside one that is silent.
    """

    context: RelayContext
    watch: StreamWatch
    exchange: Exchange
    request: AdmittedRequest
    progress: Progress
    start_hedge: 'Callable[[Relaying, LiveStream, str], None]'


async def attempt_path(
    relaying: Relaying, path: tuple[Stage, ...]
) -> AttemptResult:
    """Send a request along a path, and pass on the events that arrive.

    :raises AnswerBroken: if the answer has started and can't be completed.
    """
    context, progress = relaying.context, relaying.progress
    exchange, request = relaying.exchange, relaying.request
    tokens = request.terms.prompt + request.terms.answer // 2
    exchange.begin_send()
    _log_send(context, exchange, request, path, progress)
    scope = asyncio.timeout(None)
    now = context.clock.monotonic()
    stream = LiveStream(
        exchange,
        request,
        path,
        now,
        now,
        tokens,
        scope,
        EventSplitter(progress.last_event),
        partial(relaying.start_hedge, relaying),
    )
    context.returns.record_start(now)
    progress.runs.runs.add(stream)
    try:
        async with (
            expect_stream_crash(context, stream),
            enter_stream_scope(context, relaying.watch.streams, stream),
        ):
            return await _run(context, relaying.watch.prober, stream, progress)
    except TimeoutError:
        interrupted = SendError(SendErrorKind.LOST, stream.reason)
        await _record_loss(context, stream, progress, interrupted)
    except SendError as error:
        # A part of an event shows that events are missing.
        whole = stream.delivered and not stream.splitter.has_partial
        if whole and not stream.reason:
            progress.left = error.reason == REPLICA_LEFT
        await _record_loss(context, stream, progress, error)
    except StreamError as error:
        spoiled = SendError(SendErrorKind.INVALID, str(error))
        await _record_loss(context, stream, progress, spoiled)
    finally:
        progress.runs.runs.discard(stream)
    return AttemptResult.AGAIN


async def _record_loss(
    context: RelayContext,
    stream: LiveStream,
    progress: Progress,
    error: SendError,
) -> None:
    """Record an attempt that was lost, and whether its first replica crashed.

    A run that had just begun when the replica crashed, or was waiting there,
    counts as an attempt: it may have caused the crash, and then each attempt
    crashes one more replica.
    """
    record_failure(context, stream, progress, error.kind, error.reason)
    if await record_stream_crash(context, stream, error):
        progress.crashes += 1
        stream.exchange.ran += error.kind is SendErrorKind.LOST


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
        last_event=progress.last_event,
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
) -> AttemptResult:
    request = stream.request
    rank = context.reservations.find_rank(request.service, request.priority)
    dispatch = Dispatch(
        stream.first_replica.entry,
        request.deadline - context.clock.monotonic(),
        request.account,
        stream.path,
        stream.splitter.last,
        rank,
    )
    progress.refused = False
    outgoing = UpstreamRequest(
        request.method,
        request.target,
        context.wire.write_request(request.headers, dispatch),
        request.body,
        request.terms.identity,
        request.repeatable,
        stream.exchange.check_client,
    )
    async with context.upstreams.send(stream.first_replica, outgoing) as answer:
        stream.answered = True
        if answer.terms.not_run:
            progress.refused = True
            handle_refusal(context, prober, stream, answer)
            return AttemptResult.AGAIN
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
) -> AttemptResult:
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
        return AttemptResult.AGAIN
    if stream.exchange.started:
        progress.excluded.add(stream.first_replica.name)
        if progress.runs.has_other(stream):
            return AttemptResult.AGAIN
        raise AnswerBroken
    if not progress.runs.claim(stream):
        return AttemptResult.AGAIN
    with _write(context, stream):
        await stream.exchange.answer(answer.status, answer.headers, body)
    return AttemptResult.DONE


async def _forward_events(
    context: RelayContext,
    stream: LiveStream,
    answer: Answer,
    progress: Progress,
) -> AttemptResult:
    splitter = stream.splitter
    async for chunk in answer.iterate():
        events = splitter.feed(chunk)
        if not events:
            continue
        _claim(stream, progress)
        record_progress(context, stream)
        await _pass_on(context, stream, answer, events)
    if splitter.has_partial:
        raise SendError(SendErrorKind.LOST, 'ended in the middle of an event')
    # One that goes on after the last event has nothing to add.
    resumed = splitter.last is not None and answer.end is AnswerEnd.RUNNING
    if not (answer.framing or stream.delivered or resumed):
        raise SendError(SendErrorKind.LOST, 'ended before the first event')
    _claim(stream, progress)
    await _pass_on(context, stream, answer, b'', more=False)
    context.replicas.clear_suspicion(stream.first_replica)
    stream.exchange.record_end(answer.end)
    if answer.framing:
        # A replica that crashes between two events ends any other stream too.
        context.quarantine.record_run(stream.request.fingerprint)
    record_outcome(context, stream, failed=False)
    return AttemptResult.DONE


async def _pass_on(
    context: RelayContext,
    stream: LiveStream,
    answer: Answer,
    piece: bytes,
    *,
    more: bool = True,
) -> None:
    """Send a piece of an answer, and its headers if it is the first."""
    exchange = stream.exchange
    with _write(context, stream):
        if not exchange.started:
            await exchange.start(answer.status, strip_length(answer.headers))
        await exchange.write(piece, more=more)


@contextlib.contextmanager
def _write(context: RelayContext, stream: LiveStream) -> Iterator[None]:
    """Mark a stream while what has arrived is sent to the client.

    While the client reads slowly, the replica isn't silent, and no other run
    can continue after a piece that may not have been sent.
    """
    stream.writing = True
    try:
        yield
    finally:
        stream.writing = False
        stream.progress = context.clock.monotonic()


def _claim(stream: LiveStream, progress: Progress) -> None:
    """Let a run go on alone with what it has received.

    :raises SendError: if another run was first.
    """
    if not progress.runs.claim(stream):
        raise SendError(SendErrorKind.LOST, stream.reason)
    progress.left = False
    progress.last_event = stream.splitter.last
