"""Records the attempts of a request and the state of replicas they reveal."""

from dataclasses import dataclass, field

from ryelatch_core.admission import (
    LATE_FRACTION,
)
from ryelatch_core.events import catalogue
from ryelatch_core.fleet import (
    Replica,
)
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._errors import SendErrorKind
from ryelatch_node.relay._exchange import round_seconds
from ryelatch_node.relay._hedges import HedgedRuns
from ryelatch_node.relay._probe import Prober
from ryelatch_node.relay._shortages import record_shortage
from ryelatch_node.relay._stream import (
    FIRST_REPLICA_LOST,
    OVERTAKEN,
    LiveStream,
)
from ryelatch_node.relay._upstream import Answer

_UNAVAILABLE = 503
_STALL_FRACTION = 0.75
"""Fraction of the upstreams' stall timeout that shows a lost replica.

A refusal that took longer comes from a path that waited for that replica.
"""


@dataclass
class Progress:
    """Results of all attempts of one request so far.

    :param last_event: number of the last event that the client has.
    :param runs: the runs in progress.
    :param kept_to: names of the only first replicas that may run it, as they
        ran it before; empty if any may.
    :param refused: whether the last attempt was refused, for want of room.
    :param paid: whether a retry was spent for an attempt that wasn't made.
    :param left: whether the last run with events ended as its replica left, so
        that the client may have all of them.
    :param excluded: first replicas whose runs failed or were interrupted, which
        other attempts avoid where they can.
    :param may_have_run: whether an attempt may have run without an answer.
    :param crashes: first replicas that crashed when a run had just begun.
    :param failure_answer: the last error response of a replica and its body;
        it is passed on if no other attempt succeeds.
    """

    last_event: int | None = None
    runs: HedgedRuns = field(default_factory=HedgedRuns)
    kept_to: frozenset[str] = frozenset()
    refused: bool = False
    paid: bool = False
    left: bool = False
    excluded: set[str] = field(default_factory=set)
    may_have_run: bool = False
    crashes: int = 0
    failure_answer: tuple[Answer, bytes] | None = None


def handle_refusal(
    context: RelayContext,
    prober: Prober,
    stream: LiveStream,
    answer: Answer,
) -> None:
    """Suspect the replica that a refusal names as its cause.

    A refusal that took long comes from a path that waited for a lost replica;
    an immediate one comes from a path with a full replica.
    """
    wait_seconds = context.clock.monotonic() - stream.progress
    stalled = wait_seconds > context.startup.stall_seconds * _STALL_FRACTION
    fault = _get_faulty_replica(context, stream, answer.terms.fault)
    reason = f'answered {answer.status}'
    if (
        answer.status == _UNAVAILABLE
        and fault.name == stream.first_replica.name
    ):
        context.windows.record_refusal(fault.name, context.clock.monotonic())
    if answer.terms.entry in {'', stream.first_replica.entry}:
        if not stalled:
            record_shortage(context, stream.request.service, fault)
        context.replicas.suspect(fault, reason, full=not stalled)
        prober.check(fault)
    else:
        # Another replica has this address now, so the first replica of the
        # path has crashed, and a report from there would not be about it.
        context.replicas.end(stream.first_replica)
    stream.exchange.record(
        catalogue.EXCHANGE_FAILED,
        replica=fault.name,
        status=answer.status,
        outcome='not run',
        waited=round_seconds(wait_seconds),
    )


def _get_faulty_replica(
    context: RelayContext, stream: LiveStream, address: str
) -> Replica:
    """Return the replica of the path that has an address.

    :returns: the first replica if no other one has the address.
    """
    matches = (
        stage.replica
        for stage in stream.path
        if stage.replica.address == address
    )
    return next(matches, stream.first_replica)


def record_outcome(
    context: RelayContext, stream: LiveStream, *, failed: bool
) -> None:
    """Record whether a first replica failed a request that it ran."""
    context.failures.record(
        stream.first_replica.name,
        stream.request.route.name,
        context.clock.monotonic(),
        failed=failed,
    )


def record_progress(context: RelayContext, stream: LiveStream) -> None:
    """Record that one or more events of a stream have arrived."""
    stream.progress = context.clock.monotonic()
    stream.delivered += 1
    if stream.stall_recorded:
        _record_end_of_stall(context, stream)
    if not stream.cleared and stream.has_run_long(stream.progress):
        stream.cleared = True
        context.quarantine.record_run(stream.request.fingerprint)
    if not stream.begun:
        stream.begun = True
        stream.first_event = stream.progress
        stream.exchange.unbegun -= 1
        stream.exchange.ran += 1
        delay = stream.progress - stream.sent
        context.load.record_first_event(stream.path, delay, stream.progress)
        if delay > stream.request.route.objective * LATE_FRACTION:
            context.slow_replicas.check(stream.path)
        if not stream.delayed_by_loss:
            # A first event that was delayed by a lost replica doesn't show
            # how full the first replica is.
            context.windows.record_first_event(
                stream.first_replica.name,
                delay,
                stream.request.route.objective,
                stream.progress,
            )
            context.reservations.client.record_delay(
                stream.exchange.key, delay, begun=True
            )
        stream.exchange.detail.setdefault(
            'first', round_seconds(stream.progress - stream.request.arrived)
        )


def _record_end_of_stall(context: RelayContext, stream: LiveStream) -> None:
    """Record that a stream goes on, so that all of its path works.

    What its silence looked like neither keeps work from these replicas nor
    shrinks the window of the first one.
    """
    stream.stall_recorded = False
    stream.delayed_by_loss = True
    unreachable = context.replicas.list_unreachable()
    for stage in stream.path:
        if stage.replica.name in unreachable:
            context.replicas.clear_suspicion(stage.replica)


def record_failure(
    context: RelayContext,
    stream: LiveStream,
    progress: Progress,
    kind: SendErrorKind,
    reason: str,
) -> None:
    """Record that an attempt finished without a complete answer."""
    if kind is SendErrorKind.UNSENT:
        stream.exchange.unsent += 1
    else:
        progress.may_have_run = True
    if stream.reason == OVERTAKEN:
        _record_overtaken(stream)
        return
    if stream.reason:
        progress.excluded.add(stream.first_replica.name)
    if kind is not SendErrorKind.UNSENT:
        stream.exchange.ran += not stream.begun
    if kind is SendErrorKind.LOST:
        _doubt_run(context, stream)
    stream.exchange.record(
        catalogue.EXCHANGE_FAILED,
        replica=stream.first_replica.name,
        reason=reason,
        outcome=kind.value,
        answered=stream.answered,
        events=stream.delivered,
        last_event=progress.last_event,
    )
    if kind is not SendErrorKind.INVALID:
        context.replicas.suspect(
            stream.first_replica, reason, full=kind is not SendErrorKind.UNSENT
        )


def _record_overtaken(stream: LiveStream) -> None:
    """Record a run that ended because another one delivers the answer.

    It says nothing of its replica, and counts if it may have begun.
    """
    stream.exchange.ran += not stream.begun
    stream.exchange.record(
        catalogue.RUN_OVERTAKEN,
        replica=stream.first_replica.name,
        events=stream.delivered,
        hedged=stream.hedged,
    )


def _doubt_run(context: RelayContext, stream: LiveStream) -> None:
    """Leave a lost run out of the attempts, if its replica has ended.

    Its connection alone doesn't show that the replica ended: a connection to
    a sound replica may be reset.
    """
    exchange = stream.exchange
    if stream.reason == FIRST_REPLICA_LOST:
        exchange.ran -= 1
    elif not stream.reason:
        replica = stream.first_replica
        exchange.doubt_run(replica, context.crash_checks.start(replica))
