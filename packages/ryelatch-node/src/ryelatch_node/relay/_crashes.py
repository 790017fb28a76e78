"""Records the requests under which replicas crashed, for the quarantine."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from functools import partial

from ryelatch_core.fleet import Replica
from ryelatch_core.quarantine import RequestPhase
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._errors import (
    REPLICA_LEFT,
    ClientGone,
    SendError,
    SendErrorKind,
)
from ryelatch_node.relay._exchange import AdmittedRequest, Exchange
from ryelatch_node.relay._stream import FIRST_REPLICA_LOST, LiveStream

UNRESPONSIVE = 'silent'
"""Reason of a run that goes on beside another one, as its replica is silent."""


async def record_stream_crash(
    context: RelayContext,
    stream: LiveStream,
    error: SendError,
) -> bool:
    """Record a crash if the first replica of a stream has crashed.

    This includes streams that this node interrupted because their first
    replica is lost: the loss may have been detected by another stream a moment
    before the connection of this stream broke. It includes answers that were
    spoiled: a process may write anything before it ends.

    :returns: whether the replica crashed just as the stream began there.
    """
    interrupted = stream.reason not in {'', FIRST_REPLICA_LOST}
    if interrupted or not _may_be_crash(error):
        return False
    replica = stream.first_replica
    if stream.has_run_long(context.now()):
        # It isn't the cause, whatever the check finds. Waiting would only
        # delay its resumption: an unresponsive VM takes the check's timeout.
        context.crash_checks.start(replica)
        return False
    return await context.crash_checks.count_crash(
        replica,
        _make_record(context, stream),
        patient=_is_suspected(context, stream.request),
    )


@contextlib.asynccontextmanager
async def expect_stream_crash(
    context: RelayContext, stream: LiveStream
) -> AsyncIterator[None]:
    """Record a crash that follows soon after a stream was given up.

    A replica may stand still for longer than clients wait, and end then.
    """
    try:
        yield
    except (asyncio.CancelledError, ClientGone):
        if not stream.has_run_long(context.now()):
            _expect_crash(
                context,
                stream.request,
                stream.first_replica,
                _make_record(context, stream),
            )
        raise


async def record_non_model_crash(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    replica: Replica,
    error: SendError,
) -> None:
    """Record a crash if a replica of a service without a model has crashed.

    Unlike a stream, the request has no events that show whether it had begun,
    so it counts as begun.
    """
    if _may_be_crash(error):
        await context.crash_checks.count_crash(
            replica,
            _make_non_model_record(context, exchange, request, replica),
            patient=_is_suspected(context, request),
        )


def expect_non_model_crash(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    replica: Replica,
) -> None:
    """Record a crash if a replica crashes soon after its run was given up."""
    record = _make_non_model_record(context, exchange, request, replica)
    _expect_crash(context, request, replica, record)


def _expect_crash(
    context: RelayContext,
    request: AdmittedRequest,
    replica: Replica,
    record: Callable[[], None],
) -> None:
    context.crash_checks.expect_crash(replica, record)
    if _is_suspected(context, request):
        context.crash_checks.follow(replica)


def _make_non_model_record(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    replica: Replica,
) -> partial[None]:
    return partial(
        context.quarantine.record_crash,
        request.fingerprint,
        replica.name,
        RequestPhase.BEGUN,
        exchange.identity,
    )


def _may_be_crash(error: SendError) -> bool:
    """Whether a run was lost, and not as its replica had announced."""
    left = error.reason == REPLICA_LEFT
    return error.kind is not SendErrorKind.UNSENT and not left


def _is_suspected(context: RelayContext, request: AdmittedRequest) -> bool:
    suspect = context.quarantine.find_suspect(request.fingerprint)
    return suspect is not None


def _make_record(context: RelayContext, stream: LiveStream) -> partial[None]:
    phase = RequestPhase.BEGUN if stream.answered else RequestPhase.WAITING
    return partial(
        context.quarantine.record_crash,
        stream.request.fingerprint,
        stream.first_replica.name,
        phase,
        stream.exchange.identity,
        events=stream.delivered,
    )
