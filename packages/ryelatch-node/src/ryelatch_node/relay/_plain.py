"""Requests to plain services."""

import asyncio
from dataclasses import dataclass, field

from ryelatch_core.events import catalogue
from ryelatch_core.fleet import Replica
from ryelatch_node.ports import Dispatch
from ryelatch_node.relay._ends import SILENT, note_plain_end
from ryelatch_node.relay._errors import SendError, SendErrorKind
from ryelatch_node.relay._exchange import Exchange, AdmittedRequest, round_seconds
from ryelatch_node.relay._parts import RelayContext
from ryelatch_node.relay._permits import find_retry_after, acquire_permit
from ryelatch_node.relay._upstream import Answer

FIRST_SHARE = 0.5
"""Share of the time left that one try of an idempotent request may take.

A replica that hangs answers nothing; the second half is enough for another.
"""

RETRY_SECONDS = 0.25
"""When a refused client may come back: some places come free in this time.

Six places and 20 to 90 ms of work each give a place every 4 to 15 ms.
"""

_SERVER_ERROR = 500

_BAD_GATEWAY = 502
_UNAVAILABLE = 503


@dataclass(frozen=True)
class _Held:
    """An answer of a replica, passed on if no better comes."""

    answer: Answer
    body: bytes


@dataclass
class _Tries:
    """What the tries of a request have brought so far.

    :param lost: whether one of them may have run without an answer.
    """

    names: set[str] = field(default_factory=set)
    held: _Held | None = None
    lost: bool = False


async def relay_non_model(
    context: RelayContext, exchange: Exchange, request: AdmittedRequest
) -> None:
    """Send a request to a replica and pass its answer back."""
    tries = _Tries()
    while True:
        replica = await _find_replica(context, exchange, request, tries)
        if replica is None or not _may_send(context, exchange, request):
            break
        tries.names.add(replica.name)
        await _try_once(context, exchange, request, replica, tries)
        if _is_final(tries, repeatable=request.repeatable):
            break
    await _finish(context, exchange, request, tries)


async def _find_replica(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    tries: _Tries,
) -> Replica | None:
    """Choose a replica that takes one more request."""
    while True:
        replica = _choose(context, request, tries.names)
        if replica is None or await acquire_permit(context, exchange, replica):
            return replica


async def _try_once(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    replica: Replica,
    tries: _Tries,
) -> None:
    try:
        held = await _try_replica(context, exchange, request, replica)
    except SendError as error:
        _note_failure(context, exchange, replica, error)
        await note_plain_end(context, exchange, request, replica, error)
        tries.lost = tries.lost or error.kind is not SendErrorKind.UNSENT
        return
    tries.held = held or tries.held


def _is_final(tries: _Tries, *, repeatable: bool) -> bool:
    """Whether no other replica may be tried, or none needs to be."""
    if not repeatable:
        return tries.lost or tries.held is not None
    return tries.held is not None and tries.held.answer.status < _SERVER_ERROR


async def _finish(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    tries: _Tries,
) -> None:
    tried = len(tries.names)
    if tries.held:
        answer = tries.held.answer
        await exchange.answer(answer.status, answer.headers, tries.held.body)
    elif tries.lost:
        await exchange.refuse(_BAD_GATEWAY, 'the answer was lost', tried=tried)
    else:
        offered = context.replicas.list_service(request.service)
        await exchange.refuse(
            _UNAVAILABLE,
            'no upstream has room',
            retry_after=max(RETRY_SECONDS, find_retry_after(context, offered)),
            tried=tried,
        )


def _choose(
    context: RelayContext,
    request: AdmittedRequest,
    tried: set[str],
) -> Replica | None:
    """Choose the replica with the fewest requests of this node."""
    offered = context.replicas.list_service(request.service)
    avoided = context.replicas.list_suspects()
    ruled_out = tried | context.throttle.list_closed()
    fresh = [one for one in offered if one.name not in ruled_out]
    trusted = [one for one in fresh if one.name not in avoided]
    now = context.now()
    failing = context.failures.list_failing(now)
    sound = [one for one in trusted if one.name not in failing]
    loads = context.load.requests
    return min(
        sound or trusted or fresh,
        key=lambda one: (
            loads[one.name] / one.slots,
            context.durations.rank(one.name, now),
            one.zone != context.startup.zone,
            context.draw(),
        ),
        default=None,
    )


def _may_send(context: RelayContext, exchange: Exchange, request: AdmittedRequest) -> bool:
    if exchange.ran >= request.route.max_attempts:
        return False
    if context.quarantine.find_refused(request.digest):
        return False
    if not exchange.sends:
        return True
    return context.clock.monotonic() < request.ends and context.budget.spend()


async def _try_replica(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    replica: Replica,
) -> _Held | None:
    """Try one replica.

    :returns: its answer; nothing if it says that it did not run it.
    :raises SendError: if no usable answer came.
    """
    now = context.clock.monotonic()
    left = request.ends - now
    dispatch = Dispatch(replica.entry, left, request.account)
    exchange.sends += 1
    exchange.record(
        catalogue.EXCHANGE_SENT,
        replica=replica.name,
        service=request.service,
        digest=request.digest,
        attempt=exchange.sends,
        left=round_seconds(left),
        version=request.version,
        load=context.load.requests[replica.name],
        list_age=round_seconds(context.replicas.freshness.age),
        missing=round_seconds(context.replicas.find_missing((replica.name,))),
    )
    last = (
        not request.repeatable or exchange.sends >= request.route.max_attempts
    )
    context.load.requests[replica.name] += 1
    try:
        async with asyncio.timeout(left if last else left * FIRST_SHARE):
            return await _ask(context, exchange, request, replica, dispatch)
    except TimeoutError as error:
        exchange.ran += 1
        raise SendError(SendErrorKind.LOST, SILENT) from error
    except SendError as error:
        exchange.ran += error.kind is not SendErrorKind.UNSENT
        raise
    finally:
        context.load.requests[replica.name] -= 1
        ended = context.now()
        context.durations.record(replica.name, ended - now, ended)


async def _ask(
    context: RelayContext,
    exchange: Exchange,
    request: AdmittedRequest,
    replica: Replica,
    dispatch: Dispatch,
) -> _Held | None:
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
    context.quarantine.record_run(request.digest)
    failed = answer.status >= _SERVER_ERROR
    context.failures.record(
        replica.name,
        request.route.name,
        context.clock.monotonic(),
        failed=failed,
    )
    if not failed:
        context.replicas.clear_suspicion(replica)
    return _Held(answer, body)


def _note_failure(
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
        context.replicas.suspect(replica, error.reason, full=False)
    elif error.reason == SILENT:
        context.replicas.suspect(replica, error.reason, full=True)
