"""Relays requests to services without a model."""

import asyncio
import functools
from dataclasses import dataclass, field

from ryelatch_core.events import catalogue
from ryelatch_core.fleet import Replica
from ryelatch_node.forwarding import ForwardedAnswer
from ryelatch_node.ports import Dispatch
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._crashes import UNRESPONSIVE, record_non_model_crash
from ryelatch_node.relay._errors import SendError, SendErrorKind
from ryelatch_node.relay._exchange import (
    AdmittedRequest,
    Exchange,
    round_seconds,
)
from ryelatch_node.relay._forwarding import (
    ForwardAttempts,
    forward,
    refuse_forwarded,
)
from ryelatch_node.relay._permits import acquire_permit, compute_retry_after
from ryelatch_node.relay._refusals import refuse_quarantined
from ryelatch_node.relay._upstream import Answer
from ryelatch_node.relay._verdicts import is_allowed, wait_for_verdict

ATTEMPT_FRACTION = 0.5
"""Fraction of the time left that an attempt may take if another may follow.

A replica that hangs never answers. The other half of the time is enough for an
attempt at another replica.
"""

RETRY_AFTER_SECONDS = 0.25
"""Least Retry-After of a refused request; some slots become free in this time.

With six slots and 20 to 90 ms of work each, one is free every 4 to 15 ms.
"""

_SERVER_ERROR = 500

_BAD_GATEWAY = 502
_UNAVAILABLE = 503


@dataclass(frozen=True)
class _ReceivedAnswer:
    """An answer of a replica, relayed unless a better one follows."""

    answer: Answer
    body: bytes


@dataclass
class _Attempts:
    """Results of the attempts of a request so far.

    :param names: names of the replicas that were tried.
    :param received: latest answer of a replica, if any.
    :param lost: whether an attempt may have run but brought no answer.
    """

    names: set[str] = field(default_factory=set)
    received: _ReceivedAnswer | None = None
    lost: bool = False


async def relay_non_model(
    context: RelayContext, exchange: Exchange, request: AdmittedRequest
) -> None:
    """Send a request to replicas until one answers, and relay its answer."""
    attempts = _Attempts()
    while not _is_final(attempts, repeatable=request.repeatable):
        await wait_for_verdict(context, exchange, request)
        replica = await _choose_replica(context, exchange, request, attempts)
        if replica is None:
            break
        if not await _may_send(context, exchange, request):
            break
        attempts.names.add(replica.name)
        await _run_attempt(context, exchange, request, replica, attempts)
    elsewhere = ForwardAttempts(attempts.lost)
    if attempts.received is None and await forward(
        context,
        exchange,
        request,
        elsewhere,
        functools.partial(_pass_on, exchange),
    ):
        return
    attempts.lost = elsewhere.may_have_run
    await _finish(context, exchange, request, attempts, elsewhere)


async def _pass_on(exchange: Exchange, answer: ForwardedAnswer) -> bool:
    """Pass the answer that another node received on to the client."""
    body = b''.join([piece async for piece in answer.iterate()])
    assert answer.head is not None
    await exchange.answer(answer.head.status, list(answer.head.headers), body)
    return True


async def _choose_replica(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    attempts: _Attempts,
) -> Replica | None:
    """Choose a replica, and acquire a permit for it if it needs one.

    If the permit isn't granted, another replica is chosen.

    :returns: ``None`` if no replica is left.
    """
    while True:
        replica = _choose(context, request, attempts.names)
        if replica is None or await acquire_permit(context, exchange, replica):
            return replica


async def _run_attempt(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    replica: Replica,
    attempts: _Attempts,
) -> None:
    try:
        received = await _try_replica(context, exchange, request, replica)
    except SendError as error:
        _record_failure(context, exchange, replica, error)
        await record_non_model_crash(context, exchange, request, replica, error)
        attempts.lost = attempts.lost or error.kind is not SendErrorKind.UNSENT
        return
    attempts.received = received or attempts.received


def _is_final(attempts: _Attempts, *, repeatable: bool) -> bool:
    """Whether no further attempt is allowed or needed."""
    if not repeatable:
        return attempts.lost or attempts.received is not None
    return (
        attempts.received is not None
        and attempts.received.answer.status < _SERVER_ERROR
    )


async def _finish(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    attempts: _Attempts,
    elsewhere: ForwardAttempts,
) -> None:
    tried = len(attempts.names)
    if attempts.received:
        answer = attempts.received.answer
        await exchange.answer(
            answer.status, answer.headers, attempts.received.body
        )
    elif attempts.lost:
        await exchange.refuse(_BAD_GATEWAY, 'the answer was lost', tried=tried)
    elif not (
        await refuse_quarantined(context, exchange, request)
        or await refuse_forwarded(context, exchange, request, elsewhere)
    ):
        offered = context.replicas.list_service(request.service)
        await exchange.refuse(
            _UNAVAILABLE,
            'no upstream has room',
            retry_after=max(
                RETRY_AFTER_SECONDS, compute_retry_after(context, offered)
            ),
            tried=tried,
        )


def _choose(
    context: RelayContext,
    request: AdmittedRequest,
    tried: set[str],
) -> Replica | None:
    """Choose the replica with the fewest requests of this node per slot.

    Replicas that fail many requests, and then suspected ones, are used only if
    there are no others.
    """
    offered = context.replicas.list_service(request.service)
    avoided = context.replicas.list_suspects()
    excluded = tried | context.throttle.list_closed()
    excluded |= context.replicas.cut.list_names()
    usable = [replica for replica in offered if replica.name not in excluded]
    trusted = [replica for replica in usable if replica.name not in avoided]
    now = context.now()
    failing = context.failures.list_failing(now)
    reliable = [replica for replica in trusted if replica.name not in failing]
    loads = context.load.requests
    return min(
        reliable or trusted or usable,
        key=lambda replica: (
            loads[replica.name] / replica.slots,
            context.durations.rank(replica.name, now),
            replica.zone != context.startup.zone,
            context.draw(),
        ),
        default=None,
    )


async def _may_send(
    context: RelayContext, exchange: Exchange, request: AdmittedRequest
) -> bool:
    if exchange.ran >= request.route.max_attempts:
        return False
    if not await is_allowed(context, exchange, request):
        return False
    if not exchange.sends:
        return True
    return (
        context.clock.monotonic() < request.deadline and context.budget.spend()
    )


async def _try_replica(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    replica: Replica,
) -> _ReceivedAnswer | None:
    """Send the request to a replica, within its part of the time left.

    :returns: the answer; ``None`` if the replica refused to run the request.
    :raises SendError: if no usable answer arrives in time.
    """
    now = context.clock.monotonic()
    time_left = request.deadline - now
    dispatch = Dispatch(replica.entry, time_left, request.account)
    exchange.sends += 1
    exchange.record(
        catalogue.EXCHANGE_SENT,
        replica=replica.name,
        service=request.service,
        digest=request.digest,
        attempt=exchange.sends,
        left=round_seconds(time_left),
        version=request.version,
        load=context.load.requests[replica.name],
        list_age=round_seconds(context.replicas.freshness.age),
        missing=round_seconds(context.replicas.find_missing((replica.name,))),
    )
    is_last = (
        not request.repeatable or exchange.sends >= request.route.max_attempts
    )
    context.load.requests[replica.name] += 1
    try:
        async with asyncio.timeout(
            time_left if is_last else time_left * ATTEMPT_FRACTION
        ):
            return await _send(context, exchange, request, replica, dispatch)
    except TimeoutError as error:
        exchange.ran += 1
        raise SendError(SendErrorKind.LOST, UNRESPONSIVE) from error
    except SendError as error:
        exchange.ran += error.kind is not SendErrorKind.UNSENT
        raise
    finally:
        context.load.requests[replica.name] -= 1
        finished = context.now()
        context.durations.record(replica.name, finished - now, finished)


async def _send(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    replica: Replica,
    dispatch: Dispatch,
) -> _ReceivedAnswer | None:
    async with context.upstreams.send(
        replica,
        request.method,
        request.target,
        context.wire.write_request(request.headers, dispatch),
        request.body or None,
        identity=request.terms.identity,
        repeatable=request.repeatable,
    ) as answer:
        if answer.terms.not_run:
            context.replicas.suspect(replica, 'refused', full=True)
            if answer.terms.entry not in {'', replica.entry}:
                context.replicas.end(replica)
            exchange.record(
                catalogue.EXCHANGE_FAILED,
                replica=replica.name,
                status=answer.status,
                outcome='not run',
            )
            return None
        body = await answer.read()
        if not answer.terms.signed:
            raise SendError(SendErrorKind.INVALID, 'unsigned answer')
    exchange.ran += 1
    context.quarantine.record_run(request.fingerprint)
    failed = answer.status >= _SERVER_ERROR
    context.failures.record(
        replica.name,
        request.route.name,
        context.clock.monotonic(),
        failed=failed,
    )
    if not failed:
        context.replicas.clear_suspicion(replica)
    return _ReceivedAnswer(answer, body)


def _record_failure(
    context: RelayContext,
    exchange: Exchange,
    replica: Replica,
    error: SendError,
) -> None:
    exchange.record(
        catalogue.EXCHANGE_FAILED,
        replica=replica.name,
        reason=error.reason,
        outcome=error.kind.value,
    )
    if error.kind is SendErrorKind.UNSENT:
        exchange.unsent += 1
        context.replicas.suspect(replica, error.reason, full=False)
    elif error.reason == UNRESPONSIVE:
        context.replicas.suspect(replica, error.reason, full=True)
