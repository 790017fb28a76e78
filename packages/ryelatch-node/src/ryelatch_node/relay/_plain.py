"""Relays requests to services without a model."""

import asyncio
from dataclasses import dataclass, field

from ryelatch_core.events import catalogue
from ryelatch_core.fleet import Replica
from ryelatch_node.ports import Dispatch
from ryelatch_node.relay._ends import UNRESPONSIVE, record_non_model_crash
from ryelatch_node.relay._errors import SendError, SendErrorKind
from ryelatch_node.relay._exchange import Exchange, Inquiry, round_seconds
from ryelatch_node.relay._parts import Parts
from ryelatch_node.relay._permits import find_return, take_permit
from ryelatch_node.relay._upstream import Answer

ATTEMPT_FRACTION = 0.5
"""Fraction of the time left that an attempt may take if another may follow.

A replica that hangs never answers; the other half is enough for another one.
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


async def relay_plain(
    parts: Parts, exchange: Exchange, inquiry: Inquiry
) -> None:
    """Send a request to replicas until one answers, and relay its answer."""
    attempts = _Attempts()
    while True:
        replica = await _find_replica(parts, exchange, inquiry, attempts)
        if replica is None or not _may_send(parts, exchange, inquiry):
            break
        attempts.names.add(replica.name)
        await _run_attempt(parts, exchange, inquiry, replica, attempts)
        if _is_final(attempts, repeatable=inquiry.repeatable):
            break
    await _finish(parts, exchange, inquiry, attempts)


async def _find_replica(
    parts: Parts,
    exchange: Exchange,
    inquiry: Inquiry,
    attempts: _Attempts,
) -> Replica | None:
    """Choose a replica, with a permit if it needs one."""
    while True:
        replica = _choose(parts, inquiry, attempts.names)
        if replica is None or await take_permit(parts, exchange, replica):
            return replica


async def _run_attempt(
    parts: Parts,
    exchange: Exchange,
    inquiry: Inquiry,
    replica: Replica,
    attempts: _Attempts,
) -> None:
    try:
        received = await _try_replica(parts, exchange, inquiry, replica)
    except SendError as error:
        _record_failure(parts, exchange, replica, error)
        await record_non_model_crash(parts, exchange, inquiry, replica, error)
        attempts.lost = attempts.lost or error.kind is not SendErrorKind.UNSENT
        return
    attempts.received = received or attempts.received


def _is_final(attempts: _Attempts, *, repeatable: bool) -> bool:
    """Whether no other replica may or need be tried."""
    if not repeatable:
        return attempts.lost or attempts.received is not None
    return (
        attempts.received is not None
        and attempts.received.answer.status < _SERVER_ERROR
    )


async def _finish(
    parts: Parts,
    exchange: Exchange,
    inquiry: Inquiry,
    attempts: _Attempts,
) -> None:
    tried = len(attempts.names)
    if attempts.received:
        answer = attempts.received.answer
        await exchange.answer(
            answer.status, answer.headers, attempts.received.body
        )
    elif attempts.lost:
        await exchange.refuse(_BAD_GATEWAY, 'the answer was lost', tried=tried)
    else:
        offered = parts.replicas.list_service(inquiry.service)
        await exchange.refuse(
            _UNAVAILABLE,
            'no upstream has room',
            retry_after=max(RETRY_AFTER_SECONDS, find_return(parts, offered)),
            tried=tried,
        )


def _choose(
    parts: Parts,
    inquiry: Inquiry,
    tried: set[str],
) -> Replica | None:
    """Choose the replica with the fewest requests of this node per slot.

    Replicas that fail many requests, and then suspected ones, are used only if
    there are no others.
    """
    offered = parts.replicas.list_service(inquiry.service)
    avoided = parts.replicas.list_suspects()
    excluded = tried | parts.throttle.list_closed()
    usable = [replica for replica in offered if replica.name not in excluded]
    trusted = [replica for replica in usable if replica.name not in avoided]
    now = parts.now()
    failing = parts.failures.list_failing(now)
    reliable = [replica for replica in trusted if replica.name not in failing]
    loads = parts.load.requests
    return min(
        reliable or trusted or usable,
        key=lambda replica: (
            loads[replica.name] / replica.slots,
            parts.durations.rank(replica.name, now),
            replica.zone != parts.startup.zone,
            parts.draw(),
        ),
        default=None,
    )


def _may_send(parts: Parts, exchange: Exchange, inquiry: Inquiry) -> bool:
    if exchange.ran >= inquiry.route.max_attempts:
        return False
    if parts.quarantine.find_refused(inquiry.digest):
        return False
    if not exchange.sends:
        return True
    return parts.clock.monotonic() < inquiry.ends and parts.budget.spend()


async def _try_replica(
    parts: Parts,
    exchange: Exchange,
    inquiry: Inquiry,
    replica: Replica,
) -> _ReceivedAnswer | None:
    """Send the request to a replica, within its part of the time left.

    :returns: its answer; nothing if the replica refused the request unrun.
    :raises SendError: if no usable answer came.
    """
    now = parts.clock.monotonic()
    left = inquiry.ends - now
    dispatch = Dispatch(replica.entry, left, inquiry.account)
    exchange.sends += 1
    exchange.record(
        catalogue.EXCHANGE_SENT,
        replica=replica.name,
        service=inquiry.service,
        digest=inquiry.digest,
        attempt=exchange.sends,
        left=round_seconds(left),
        version=inquiry.version,
        load=parts.load.requests[replica.name],
        list_age=round_seconds(parts.replicas.known.age),
        missing=round_seconds(parts.replicas.find_missing((replica.name,))),
    )
    last = (
        not inquiry.repeatable or exchange.sends >= inquiry.route.max_attempts
    )
    parts.load.requests[replica.name] += 1
    try:
        async with asyncio.timeout(left if last else left * ATTEMPT_FRACTION):
            return await _send(parts, exchange, inquiry, replica, dispatch)
    except TimeoutError as error:
        exchange.ran += 1
        raise SendError(SendErrorKind.LOST, UNRESPONSIVE) from error
    except SendError as error:
        exchange.ran += error.kind is not SendErrorKind.UNSENT
        raise
    finally:
        parts.load.requests[replica.name] -= 1
        finished = parts.now()
        parts.durations.note(replica.name, finished - now, finished)


async def _send(
    parts: Parts,
    exchange: Exchange,
    inquiry: Inquiry,
    replica: Replica,
    dispatch: Dispatch,
) -> _ReceivedAnswer | None:
    async with parts.upstreams.send(
        replica,
        inquiry.method,
        inquiry.target,
        parts.wire.write_request(inquiry.headers, dispatch),
        inquiry.body or None,
        identity=inquiry.terms.identity,
        repeatable=inquiry.repeatable,
    ) as answer:
        if answer.terms.not_run:
            parts.replicas.suspect(replica, 'refused', full=True)
            if answer.terms.entry not in {'', replica.entry}:
                parts.replicas.end(replica)
            exchange.record(
                catalogue.EXCHANGE_FAILED,
                replica=replica.name,
                status=answer.status,
                outcome='not run',
            )
            return None
        body = await answer.read()
        if not answer.terms.signed:
            raise SendError(SendErrorKind.SPOILED, 'unsigned answer')
    exchange.ran += 1
    parts.quarantine.note_run(inquiry.digest)
    failed = answer.status >= _SERVER_ERROR
    parts.failures.note(
        replica.name,
        inquiry.route.name,
        parts.clock.monotonic(),
        failed=failed,
    )
    if not failed:
        parts.replicas.trust(replica)
    return _ReceivedAnswer(answer, body)


def _record_failure(
    parts: Parts,
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
        parts.replicas.suspect(replica, error.reason, full=False)
    elif error.reason == UNRESPONSIVE:
        parts.replicas.suspect(replica, error.reason, full=True)
