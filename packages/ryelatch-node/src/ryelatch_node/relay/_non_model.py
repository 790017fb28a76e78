"""Relays requests to services without a model."""

import asyncio
import functools
import math
from dataclasses import dataclass, field, replace

from ryelatch_core.events import catalogue
from ryelatch_core.fleet import Replica
from ryelatch_core.streams import StreamError
from ryelatch_node.forwarding import ForwardedAnswer
from ryelatch_node.ports import Dispatch, Headers
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._crashes import (
    UNRESPONSIVE,
    expect_non_model_crash,
    record_non_model_crash,
)
from ryelatch_node.relay._end_checks import AnswerEnd
from ryelatch_node.relay._errors import ClientGone, SendError, SendErrorKind
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
from ryelatch_node.relay._held import relay_body
from ryelatch_node.relay._permits import acquire_permit, compute_retry_after
from ryelatch_node.relay._refusals import refuse_quarantined
from ryelatch_node.relay._runs import Runs, open_runs
from ryelatch_node.relay._upstream import UpstreamRequest
from ryelatch_node.relay._verdicts import is_allowed, wait_for_verdict

ATTEMPT_FRACTION = 0.5
"""Fraction of the time left after which another attempt is begun beside one.

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

    status: int
    headers: Headers
    body: bytes = b''


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


@dataclass(eq=False)
class _Run:
    """One attempt at a replica.

    :param counted: whether it counts against the attempts of the route.
    """

    replica: Replica
    counted: bool = False

    def count(self, exchange: Exchange) -> None:
        """Count it against the attempts that the route allows, once."""
        exchange.ran += not self.counted
        self.counted = True


async def relay_non_model(
    context: RelayContext, exchange: Exchange, request: AdmittedRequest
) -> None:
    """Send a request to replicas until one answers, and relay its answer.

    A replica that is silent for long keeps its run while others are tried.
    """
    attempts = _Attempts()
    is_settled = functools.partial(_is_settled, exchange, request, attempts)
    async with open_runs(context.clock, is_settled) as runs:
        await _send_in_turn(context, exchange, request, attempts, runs)
        may_have_run = attempts.lost or runs.in_progress
        elsewhere = ForwardAttempts(may_have_run)
        if attempts.received is None and not exchange.started:
            runs.start(
                _forward(context, exchange, request, attempts, elsewhere)
            )
        await runs.wait()
    if not exchange.finished:
        await _finish(context, exchange, request, attempts, elsewhere)


async def _send_in_turn(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    attempts: _Attempts,
    runs: Runs,
) -> None:
    """Send a request to one replica after the other.

    :returns: once it is settled, or can't be sent to another replica.
    """
    compute_due = functools.partial(_compute_due, context, exchange, request)
    while not (runs.is_settled() or exchange.started):
        await wait_for_verdict(context, exchange, request)
        replica = await _choose_replica(context, exchange, request, attempts)
        if replica is None or runs.is_settled() or exchange.started:
            break
        if not await _may_send(context, exchange, request):
            break
        exchange.begin_send()
        attempts.names.add(replica.name)
        run = _Run(replica)
        _record_send(context, exchange, request, replica)
        runs.start(_run_attempt(context, exchange, request, run, attempts))
        if await runs.wait_for_latest(compute_due):
            _record_overdue(context, exchange, run)


def _compute_due(
    context: RelayContext, exchange: Exchange, request: AdmittedRequest
) -> float:
    """Compute when another attempt is begun beside the present one.

    :returns: monotonic seconds; infinite if no other attempt is allowed.
    """
    # The present run counts once it is overdue.
    ran = exchange.ran + 1
    if not request.repeatable or ran >= request.route.max_attempts:
        return math.inf
    now = context.clock.monotonic()
    return now + (request.deadline - now) * ATTEMPT_FRACTION


async def _forward(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    attempts: _Attempts,
    elsewhere: ForwardAttempts,
) -> None:
    """Forward a request to other nodes, if links to its replicas are lost."""

    async def keep(answer: ForwardedAnswer) -> bool:
        head = answer.head
        assert head is not None
        received = _ReceivedAnswer(head.status, list(head.headers))
        try:
            body = await relay_body(
                context.held, exchange, received, answer.iterate()
            )
        except SendError as error:
            # Another answer is being passed on, so this one ends its helper.
            raise StreamError(error.reason) from error
        if body is not None:
            attempts.received = replace(received, body=body)
        return True

    await forward(context, exchange, request, elsewhere, keep)
    if elsewhere.tried:
        attempts.lost = attempts.lost or elsewhere.may_have_run


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
    run: _Run,
    attempts: _Attempts,
) -> None:
    replica = run.replica
    try:
        received = await _try_replica(context, exchange, request, run)
    except SendError as error:
        _record_failure(context, exchange, replica, error)
        attempts.lost = attempts.lost or error.kind is not SendErrorKind.UNSENT
        await record_non_model_crash(context, exchange, request, replica, error)
        return
    except (asyncio.CancelledError, ClientGone):
        expect_non_model_crash(context, exchange, request, replica)
        raise
    attempts.received = received or attempts.received


def _is_settled(
    exchange: Exchange, request: AdmittedRequest, attempts: _Attempts
) -> bool:
    """Whether no further result is awaited.

    While an error is being sent to the client, it is sent to its end.
    """
    if exchange.started:
        return exchange.finished
    received = attempts.received
    if not request.repeatable:
        return attempts.lost or received is not None
    return received is not None and received.status < _SERVER_ERROR


async def _finish(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    attempts: _Attempts,
    elsewhere: ForwardAttempts,
) -> None:
    tried = len(attempts.names)
    if attempts.received:
        received = attempts.received
        await exchange.answer(received.status, received.headers, received.body)
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
    budget = context.budgets.get(request.service)
    return context.clock.monotonic() < request.deadline and budget.spend()


def _record_send(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    replica: Replica,
) -> None:
    exchange.record(
        catalogue.EXCHANGE_SENT,
        replica=replica.name,
        service=request.service,
        digest=request.digest,
        attempt=exchange.sends,
        left=round_seconds(request.deadline - context.now()),
        version=request.version,
        load=context.load.requests[replica.name],
        list_age=round_seconds(context.replicas.freshness.age),
        missing=round_seconds(context.replicas.find_missing((replica.name,))),
    )


async def _try_replica(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    run: _Run,
) -> _ReceivedAnswer | None:
    """Send the request to a replica.

    :returns: the answer; ``None`` if the replica refused to run the request.
    :raises SendError: if no usable answer arrives.
    """
    replica = run.replica
    now = context.now()
    dispatch = Dispatch(replica.entry, request.deadline - now, request.account)
    context.load.requests[replica.name] += 1
    try:
        return await _send(context, exchange, request, run, dispatch)
    except SendError as error:
        if error.kind is not SendErrorKind.UNSENT:
            run.count(exchange)
        raise
    finally:
        context.load.requests[replica.name] -= 1
        finished = context.now()
        context.durations.record(replica.name, finished - now, finished)


async def _send(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    run: _Run,
    dispatch: Dispatch,
) -> _ReceivedAnswer | None:
    replica = run.replica
    outgoing = UpstreamRequest(
        request.method,
        request.target,
        context.wire.write_request(request.headers, dispatch),
        request.body or None,
        request.terms.identity,
        request.repeatable,
        exchange.check_client,
    )
    async with context.upstreams.send(replica, outgoing) as answer:
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
        if not answer.terms.signed:
            raise SendError(SendErrorKind.INVALID, 'unsigned answer')
        replaceable = request.repeatable and answer.status >= _SERVER_ERROR
        body = await relay_body(
            context.held,
            exchange,
            answer,
            answer.iterate(),
            may_pass_on=not replaceable,
        )
    run.count(exchange)
    exchange.record_end(answer.end)
    if answer.end is not AnswerEnd.LEFT:
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
    if body is None:
        return None
    return _ReceivedAnswer(answer.status, answer.headers, body)


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


def _record_overdue(
    context: RelayContext, exchange: Exchange, run: _Run
) -> None:
    """Record a run that is in progress while another one is begun."""
    run.count(exchange)
    exchange.record(
        catalogue.EXCHANGE_FAILED,
        replica=run.replica.name,
        reason=UNRESPONSIVE,
        outcome='in progress',
    )
    context.replicas.suspect(run.replica, UNRESPONSIVE, full=True)
