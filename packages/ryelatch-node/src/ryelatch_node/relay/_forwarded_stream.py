"""Passes streams that another node receives from replicas on to clients."""

import asyncio
import functools
from dataclasses import dataclass

from ryelatch_core.events import catalogue
from ryelatch_core.streams import EventSplitter
from ryelatch_node.forwarding import ForwardedAnswer, HelperLost
from ryelatch_node.ports import Headers
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._errors import AnswerBroken
from ryelatch_node.relay._exchange import AdmittedRequest, Exchange
from ryelatch_node.relay._forwarding import ForwardAttempts, forward
from ryelatch_node.relay._held import collect
from ryelatch_node.relay._progress import Progress

_OK = 200


@dataclass(eq=False)
class ForwardedRun:
    """A run at other nodes, which may be in progress beside another one.

    :param scope: the timeout around it, which is rescheduled to now to
        interrupt it.
    """

    scope: asyncio.Timeout
    reason: str = ''

    def interrupt(self, reason: str) -> None:
        """Leave the node that serves it."""
        if not self.reason:
            self.reason = reason
            self.scope.reschedule(asyncio.get_running_loop().time())


async def forward_stream(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    progress: Progress,
    attempts: ForwardAttempts,
) -> bool:
    """Forward a request to other nodes if links to the replicas are lost.

    :returns: whether the client has the complete answer.
    """
    run = ForwardedRun(asyncio.timeout(None))
    attempts.is_beside = functools.partial(progress.runs.has_other, run)
    progress.runs.runs.add(run)
    try:
        async with run.scope:
            return await _forward(
                context, exchange, request, progress, attempts, run
            )
    except TimeoutError:
        _record_overtaken(exchange, attempts)
        return False
    finally:
        progress.runs.runs.discard(run)
        progress.may_have_run |= attempts.may_have_run


async def _forward(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    progress: Progress,
    attempts: ForwardAttempts,
    run: ForwardedRun,
) -> bool:
    attempts.last_event = progress.last_event

    async def pass_on(answer: ForwardedAnswer) -> bool:
        head = answer.head
        assert head is not None
        if head.status != _OK:
            body = await collect(answer.iterate())
            if attempts.is_beside():
                attempts.may_have_run = True
                exchange.ran += attempts.ran
                return False
            if exchange.started:
                raise AnswerBroken
            await exchange.answer(head.status, list(head.headers), body)
            return True
        await _forward_pieces(exchange, progress, attempts, run, answer)
        return True

    return await forward(context, exchange, request, attempts, pass_on)


async def _forward_pieces(
    exchange: Exchange,
    progress: Progress,
    attempts: ForwardAttempts,
    run: ForwardedRun,
    answer: ForwardedAnswer,
) -> None:
    """Pass the events of a forwarded stream on to the client.

    :raises TimeoutError: if another run was first.
    """
    head = answer.head
    assert head is not None
    headers = strip_length(list(head.headers))
    splitter = EventSplitter(progress.last_event)
    async for piece in answer.iterate():
        events = splitter.feed(piece)
        if not events:
            continue
        _claim(progress, run)
        progress.last_event = splitter.last
        attempts.last_event = splitter.last
        if not exchange.started:
            await exchange.start(head.status, headers)
        await exchange.write(events)
    if splitter.has_partial:
        raise HelperLost('ended in the middle of an event', sent=True)
    _claim(progress, run)
    if not exchange.started:
        await exchange.start(head.status, headers)
    await exchange.write(b'', more=False)


def _claim(progress: Progress, run: ForwardedRun) -> None:
    """Let a run go on alone with what it has received.

    :raises TimeoutError: if another run was first.
    """
    if not progress.runs.claim(run):
        raise TimeoutError


def _record_overtaken(exchange: Exchange, attempts: ForwardAttempts) -> None:
    """Record a run that ended because another one delivers the answer."""
    if not attempts.serving:
        return
    attempts.may_have_run = True
    exchange.ran += attempts.ran
    exchange.record(catalogue.RUN_OVERTAKEN, peer=attempts.serving)


def strip_length(headers: Headers) -> Headers:
    """Drop the content length: a resumed stream may have another length."""
    return [pair for pair in headers if pair[0] != b'content-length']
