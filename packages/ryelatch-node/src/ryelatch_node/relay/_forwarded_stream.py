"""Passes streams that another node receives from replicas on to clients."""

from collections.abc import AsyncIterator

from ryelatch_core.streams import EventSplitter
from ryelatch_node.forwarding import ForwardedAnswer, HelperLost
from ryelatch_node.peer_sync import ForwardStart
from ryelatch_node.ports import Headers
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._errors import AnswerBroken
from ryelatch_node.relay._exchange import AdmittedRequest, Exchange
from ryelatch_node.relay._forwarding import ForwardAttempts, forward
from ryelatch_node.relay._progress import Progress

_OK = 200


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
    attempts.last_event = progress.last_event

    async def pass_on(answer: ForwardedAnswer) -> bool:
        head = answer.head
        assert head is not None
        if head.status != _OK:
            body = b''.join([piece async for piece in answer.iterate()])
            if exchange.started:
                raise AnswerBroken
            await exchange.answer(head.status, list(head.headers), body)
            return True
        splitter = EventSplitter(progress.last_event)
        try:
            await _forward_pieces(exchange, splitter, head, answer.iterate())
        finally:
            progress.last_event = splitter.last
            attempts.last_event = splitter.last
        return True

    done = await forward(context, exchange, request, attempts, pass_on)
    progress.may_have_run = attempts.may_have_run
    return done


async def _forward_pieces(
    exchange: Exchange,
    splitter: EventSplitter,
    head: ForwardStart,
    pieces: AsyncIterator[bytes],
) -> None:
    """Pass the events of a forwarded stream on to the client."""
    headers = strip_length(list(head.headers))
    async for piece in pieces:
        events = splitter.feed(piece)
        if not events:
            continue
        if not exchange.started:
            await exchange.start(head.status, headers)
        await exchange.write(events)
    if splitter.has_partial:
        raise HelperLost('ended in the middle of an event', sent=True)
    if not exchange.started:
        await exchange.start(head.status, headers)
    await exchange.write(b'', more=False)


def strip_length(headers: Headers) -> Headers:
    """Drop the content length: a resumed stream may have another length."""
    return [pair for pair in headers if pair[0] != b'content-length']
