"""Requests to plain services."""

import asyncio
from dataclasses import dataclass, field

from ryelatch_core.events import catalogue
from ryelatch_core.fleet import Replica
from ryelatch_node.ports import Dispatch
from ryelatch_node.relay._ends import SILENT, note_plain_end
from ryelatch_node.relay._errors import SendError, SendErrorKind
from ryelatch_node.relay._exchange import Exchange, Inquiry, round_seconds
from ryelatch_node.relay._parts import Parts
from ryelatch_node.relay._permits import find_return, take_permit
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


async def relay_plain(
    parts: Parts, exchange: Exchange, inquiry: Inquiry
) -> None:
    """Send a request to a replica and pass its answer back."""
    tries = _Tries()
    while True:
        replica = await _find_replica(parts, exchange, inquiry, tries)
        if replica is None or not _may_send(parts, exchange, inquiry):
            break
        tries.names.add(replica.name)
        await _try_once(parts, exchange, inquiry, replica, tries)
        if _is_final(tries, repeatable=inquiry.repeatable):
            break
    await _finish(parts, exchange, inquiry, tries)


async def _find_replica(
    parts: Parts,
    exchange: Exchange,
    inquiry: Inquiry,
    tries: _Tries,
) -> Replica | None:
    """Choose a replica that takes one more request."""
    while True:
        replica = _choose(parts, inquiry, tries.names)
        if replica is None or await take_permit(parts, exchange, replica):
            return replica


async def _try_once(
    parts: Parts,
    exchange: Exchange,
    inquiry: Inquiry,
    replica: Replica,
    tries: _Tries,
) -> None:
    try:
        held = await _try_replica(parts, exchange, inquiry, replica)
    except SendError as error:
        _note_failure(parts, exchange, replica, error)
        await note_plain_end(parts, exchange, inquiry, replica, error)
        tries.lost = tries.lost or error.kind is not SendErrorKind.UNSENT
        return
    tries.held = held or tries.held


def _is_final(tries: _Tries, *, repeatable: bool) -> bool:
    """Whether no other replica may be tried, or none needs to be."""
    if not repeatable:
        return tries.lost or tries.held is not None
    return tries.held is not None and tries.held.answer.status < _SERVER_ERROR


async def _finish(
    parts: Parts,
    exchange: Exchange,
    inquiry: Inquiry,
    tries: _Tries,
) -> None:
    tried = len(tries.names)
    if tries.held:
        answer = tries.held.answer
        await exchange.answer(answer.status, answer.headers, tries.held.body)
    elif tries.lost:
        await exchange.refuse(_BAD_GATEWAY, 'the answer was lost', tried=tried)
    else:
        offered = parts.replicas.list_service(inquiry.service)
        await exchange.refuse(
            _UNAVAILABLE,
            'no upstream has room',
            retry_after=max(RETRY_SECONDS, find_return(parts, offered)),
            tried=tried,
        )


def _choose(
    parts: Parts,
    inquiry: Inquiry,
    tried: set[str],
) -> Replica | None:
    """Choose the replica with the fewest requests of this node."""
    offered = parts.replicas.list_service(inquiry.service)
    avoided = parts.replicas.list_suspects()
    ruled_out = tried | parts.throttle.list_closed()
    fresh = [one for one in offered if one.name not in ruled_out]
    trusted = [one for one in fresh if one.name not in avoided]
    now = parts.now()
    failing = parts.failures.list_failing(now)
    sound = [one for one in trusted if one.name not in failing]
    loads = parts.load.requests
    return min(
        sound or trusted or fresh,
        key=lambda one: (
            loads[one.name] / one.slots,
            parts.durations.rank(one.name, now),
            one.zone != parts.startup.zone,
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
) -> _Held | None:
    """Try one replica.

    :returns: its answer; nothing if it says that it did not run it.
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
        async with asyncio.timeout(left if last else left * FIRST_SHARE):
            return await _ask(parts, exchange, inquiry, replica, dispatch)
    except TimeoutError as error:
        exchange.ran += 1
        raise SendError(SendErrorKind.LOST, SILENT) from error
    except SendError as error:
        exchange.ran += error.kind is not SendErrorKind.UNSENT
        raise
    finally:
        parts.load.requests[replica.name] -= 1
        ended = parts.now()
        parts.durations.note(replica.name, ended - now, ended)


async def _ask(
    parts: Parts,
    exchange: Exchange,
    inquiry: Inquiry,
    replica: Replica,
    dispatch: Dispatch,
) -> _Held | None:
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
    return _Held(answer, body)


def _note_failure(
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
    elif error.reason == SILENT:
        parts.replicas.suspect(replica, error.reason, full=True)
