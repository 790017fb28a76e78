"""Counts a stream as in progress for exactly as long as its answer is read."""

import contextlib
from collections.abc import AsyncIterator

from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._stream import LiveStream


@contextlib.asynccontextmanager
async def enter_stream_scope(
    context: RelayContext,
    streams: set[LiveStream],
    stream: LiveStream,
) -> AsyncIterator[None]:
    """Let a stream be watched, moved and interrupted while it is read.

    When the reading ends, in whatever way, all of that ends before any code of
    the caller runs. Handling a loss takes a call over the network, and in that
    time the stream must neither be interrupted nor occupy a place.

    :param streams: the streams in progress; includes it while it is read.
    :raises TimeoutError: if the stream was interrupted.
    """
    account = stream.request.account
    own = not stream.request.origin
    context.load.add(stream.path, stream.tokens, stream.sent, own=own)
    context.windows.add(stream.first_replica.name)
    context.accounts.add(account)
    streams.add(stream)
    stream.exchange.unbegun += 1
    try:
        async with stream.scope:
            yield
    finally:
        stream.finished = True
        stream.exchange.unbegun -= not stream.begun
        streams.discard(stream)
        context.windows.remove(stream.first_replica.name)
        context.accounts.remove(account)
        context.load.remove(stream.path, stream.tokens, context.now(), own=own)
