"""Relays requests to a model whose layers are split over replicas."""

import asyncio
import enum

from ryelatch_core.events import catalogue
from ryelatch_core.fleet import Stage
from ryelatch_core.quarantine import MOST_ENDS
from ryelatch_core.streams import EventCutter, StreamError
from ryelatch_node.ports import Dispatch
from ryelatch_node.relay._choice import (
    choose_request_path,
    list_heads,
    misses_layers,
)
from ryelatch_node.relay._ends import note_stream_end
from ryelatch_node.relay._errors import (
    AnswerBroken,
    SendError,
    SendErrorKind,
)
from ryelatch_node.relay._exchange import Exchange, Inquiry, round_seconds
from ryelatch_node.relay._parts import Parts
from ryelatch_node.relay._permits import find_return, take_permit
from ryelatch_node.relay._probe import Prober
from ryelatch_node.relay._progress import (
    Progress,
    handle_refusal,
    note_progress,
    record_failure,
    record_outcome,
)
from ryelatch_node.relay._stream import LiveStream
from ryelatch_node.relay._upstream import Answer
from ryelatch_node.relay._watch import StreamWatch

MAX_SENDS = 5
"""Maximum attempts for one request, whatever their results.

An attempt takes up to one second, and clients give up after two seconds
without an event, so more attempts help only where replicas refuse at once.
"""

REPAIR_SECONDS = 2.5
"""Retry-After for requests that are refused because layers are missing.

The loss of a replica is detected after 0.5 s, and eight layers load in 1.4 s.
"""

_SERVER_ERROR = 500
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_OK = 200


class _AttemptResult(enum.Enum):
    """Whether an attempt completed the request or another one may follow."""

    DONE = 'done'
    AGAIN = 'again'


async def relay_model(
    parts: Parts,
    watch: StreamWatch,
    exchange: Exchange,
    inquiry: Inquiry,
) -> None:
    """Send a request along paths until one returns the complete answer.

    :raises AnswerBroken: if the answer has started and can't be completed.
    """
    progress = Progress(EventCutter(inquiry.terms.last_event))
    while _may_send(parts, exchange, inquiry, progress):
        path = await _find_path(parts, exchange, inquiry, progress)
        if not path:
            break
        result = await _attempt_path(
            parts, watch, exchange, inquiry, path, progress
        )
        if result is _AttemptResult.DONE:
            return
    await _give_up(parts, exchange, inquiry, progress)


async def _find_path(
    parts: Parts,
    exchange: Exchange,
    inquiry: Inquiry,
    progress: Progress,
) -> tuple[Stage, ...]:
    """Choose a path, and take a permit for its first replica if it is limited.

    Without a permit another path is chosen.

    :returns: the stages of the path; empty if there is no path.
    """
    while True:
        path = choose_request_path(parts, exchange, inquiry, progress)
        if not path or await take_permit(parts, exchange, path[0].replica):
            return path


def _may_send(
    parts: Parts,
    exchange: Exchange,
    inquiry: Inquiry,
    progress: Progress,
) -> bool:
    if not exchange.sends:
        return True
    if exchange.sends >= MAX_SENDS:
        return False
    if exchange.ran >= inquiry.route.max_attempts:
        return False
    if progress.may_have_run and not inquiry.repeatable:
        return False
    if progress.crashes >= MOST_ENDS:
        return False
    if parts.quarantine.find_refused(inquiry.digest):
        return False
    return parts.budget.spend()


async def _attempt_path(
    parts: Parts,
    watch: StreamWatch,
    exchange: Exchange,
    inquiry: Inquiry,
    path: tuple[Stage, ...],
    progress: Progress,
) -> _AttemptResult:
    tokens = inquiry.terms.prompt + inquiry.terms.answer // 2
    exchange.sends += 1
    _log_send(parts, exchange, inquiry, path, progress)
    scope = asyncio.timeout(None)
    now = parts.clock.monotonic()
    stream = LiveStream(exchange, inquiry, path, now, now, tokens, scope)
    parts.load.add(path, tokens, now)
    parts.windows.add(stream.head.name)
    parts.accounts.add(inquiry.account)
    parts.returns.note_start(now)
    watch.streams.add(stream)
    try:
        async with scope:
            return await _run(parts, watch.prober, stream, progress)
    except TimeoutError:
        interrupted = SendError(SendErrorKind.LOST, stream.reason)
        await _record_loss(parts, stream, progress, interrupted)
    except SendError as error:
        await _record_loss(parts, stream, progress, error)
    except StreamError as error:
        record_failure(
            parts, stream, progress, SendErrorKind.SPOILED, str(error)
        )
    finally:
        stream.over = True
        watch.streams.discard(stream)
        parts.windows.remove(stream.head.name)
        parts.accounts.remove(inquiry.account)
        parts.load.remove(stream.path, tokens, parts.clock.monotonic())
    return _AttemptResult.AGAIN


async def _record_loss(
    parts: Parts,
    stream: LiveStream,
    progress: Progress,
    error: SendError,
) -> None:
    """Record an attempt that was lost, and whether its first replica crashed.

    A run that had just begun when the replica crashed counts as an attempt:
    it may have caused the crash, and then each attempt crashes one more
    replica.
    """
    record_failure(parts, stream, progress, error.kind, error.reason)
    if await note_stream_end(parts, stream, error):
        progress.crashes += 1
        stream.exchange.ran += stream.answered


def _log_send(
    parts: Parts,
    exchange: Exchange,
    inquiry: Inquiry,
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
        service=inquiry.service,
        digest=inquiry.digest,
        attempt=exchange.sends,
        left=round_seconds(inquiry.ends - parts.clock.monotonic()),
        version=inquiry.version,
        last_event=progress.cutter.last,
        avoided=len(parts.replicas.list_suspects()),
        list_age=round_seconds(parts.replicas.known.age),
        missing=round_seconds(
            parts.replicas.find_missing(
                path_stage.replica.name for path_stage in path
            )
        ),
    )


async def _run(
    parts: Parts,
    prober: Prober,
    stream: LiveStream,
    progress: Progress,
) -> _AttemptResult:
    inquiry = stream.inquiry
    dispatch = Dispatch(
        stream.head.entry,
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
        stream.answered = True
        if answer.terms.not_run:
            handle_refusal(parts, prober, stream, answer)
            return _AttemptResult.AGAIN
        if not answer.terms.signed:
            raise SendError(SendErrorKind.SPOILED, 'unsigned answer')
        if answer.status != _OK:
            return await _handle_failure(parts, stream, answer, progress)
        return await _forward_events(parts, stream, answer, progress)


async def _handle_failure(
    parts: Parts,
    stream: LiveStream,
    answer: Answer,
    progress: Progress,
) -> _AttemptResult:
    """Keep an error response of a replica, or pass it on to the client."""
    body = await answer.read()
    parts.quarantine.note_run(stream.inquiry.digest)
    stream.exchange.ran += 1
    stream.exchange.record(
        catalogue.EXCHANGE_FAILED,
        replica=stream.head.name,
        status=answer.status,
        outcome='failed',
    )
    failed = answer.status >= _SERVER_ERROR
    record_outcome(parts, stream, failed=failed)
    if failed and stream.inquiry.repeatable:
        # A replica that fails at once looks fast and has free capacity, so
        # the next attempt would choose it again.
        progress.left.add(stream.head.name)
        progress.failure_answer = (answer, body)
        return _AttemptResult.AGAIN
    if stream.exchange.started:
        raise AnswerBroken
    await stream.exchange.answer(answer.status, answer.headers, body)
    return _AttemptResult.DONE


async def _forward_events(
    parts: Parts,
    stream: LiveStream,
    answer: Answer,
    progress: Progress,
) -> _AttemptResult:
    cutter = progress.cutter
    cutter.restart()
    exchange = stream.exchange
    async for chunk in answer.iterate():
        events = cutter.cut(chunk)
        if not events:
            continue
        note_progress(parts, stream)
        if not exchange.started:
            await exchange.start(answer.status, _strip_length(answer))
        await exchange.write(events)
    if cutter.torn:
        raise SendError(SendErrorKind.LOST, 'ended in the middle of an event')
    if not exchange.started:
        await exchange.start(answer.status, _strip_length(answer))
    await exchange.write(b'', more=False)
    parts.replicas.trust(stream.head)
    parts.quarantine.note_run(stream.inquiry.digest)
    record_outcome(parts, stream, failed=False)
    return _AttemptResult.DONE


def _strip_length(answer: Answer) -> list[tuple[bytes, bytes]]:
    """Drop the content length: a resumed stream may have another length."""
    return [pair for pair in answer.headers if pair[0] != b'content-length']


async def _give_up(
    parts: Parts,
    exchange: Exchange,
    inquiry: Inquiry,
    progress: Progress,
) -> None:
    if exchange.started:
        raise AnswerBroken
    if progress.failure_answer:
        answer, body = progress.failure_answer
        await exchange.answer(answer.status, answer.headers, body)
    elif progress.may_have_run:
        await exchange.refuse(_BAD_GATEWAY, 'the answer was lost')
    else:
        await _refuse(parts, exchange, inquiry)


async def _refuse(
    parts: Parts,
    exchange: Exchange,
    inquiry: Inquiry,
) -> None:
    """Refuse a request that did not run, and say when to retry."""
    missing = misses_layers(parts, inquiry)
    wait = REPAIR_SECONDS if missing else _estimate_retry_after(parts, inquiry)
    await exchange.refuse(
        _UNAVAILABLE,
        'layers are missing' if missing else 'all paths are full',
        retry_after=wait,
        open=len(parts.windows.requests),
        full=len(parts.windows.list_closed()),
    )


def _estimate_retry_after(parts: Parts, inquiry: Inquiry) -> float:
    """Estimate after how many seconds a refused client should retry."""
    now = parts.clock.monotonic()
    delay = parts.returns.give_turn(now, inquiry.ends - now, parts.draw())
    return max(delay, find_return(parts, list_heads(parts, inquiry)))
