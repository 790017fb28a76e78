"""What the tries of a request have brought, and what they tell of replicas."""

from dataclasses import dataclass, field

from ryelatch_core.events import catalogue
from ryelatch_core.fleet import LATE_FRACTION, Replica
from ryelatch_core.streams import EventSplitter
from ryelatch_node.relay._errors import SendErrorKind
from ryelatch_node.relay._exchange import round_seconds
from ryelatch_node.relay._parts import RelayContext
from ryelatch_node.relay._probe import Prober
from ryelatch_node.relay._stream import FIRST_REPLICA_LOST, LiveStream
from ryelatch_node.relay._upstream import Answer

_FULL = 503
_STALL_SHARE = 0.75
"""Share of the upstreams' patience from which a refusal tells of a loss."""


@dataclass
class Progress:
    """What the tries of a request have brought so far.

    :param lost: whether one of them may have run without an answer.
    :param held: a replica's own failure, passed on if nothing better comes.
    :param excluded: first replicas whose runs this node cut off.
    :param ends: first replicas that ended just as it began at them.
    """

    splitter: EventSplitter
    excluded: set[str] = field(default_factory=set)
    lost: bool = False
    ends: int = 0
    held: tuple[Answer, bytes] | None = None


def note_refusal(
    context: RelayContext,
    prober: Prober,
    stream: LiveStream,
    answer: Answer,
) -> None:
    """Keep away from the replica that a refusal names.

    A refusal that took long comes from a path that waited for a lost
    replica; one that came at once, from one without room.
    """
    waited = context.clock.monotonic() - stream.progress
    stalled = waited > context.startup.stall_seconds * _STALL_SHARE
    fault = _find_fault(context, stream, answer.terms.fault)
    reason = f'answered {answer.status}'
    if answer.status == _FULL and fault.name == stream.head.name:
        context.windows.record_refusal(fault.name, context.clock.monotonic())
    if answer.terms.entry in {'', stream.head.entry}:
        context.replicas.suspect(fault, reason, full=not stalled)
        prober.check(fault)
    else:
        # Another replica has the address now; asking it tells nothing.
        context.replicas.end(stream.head)
    stream.exchange.record(
        catalogue.EXCHANGE_FAILED,
        replica=fault.name,
        status=answer.status,
        outcome='not run',
        waited=round_seconds(waited),
    )


def _find_fault(context: RelayContext, stream: LiveStream, address: str) -> Replica:
    named = (
        stage.replica
        for stage in stream.path
        if stage.replica.address == address
    )
    return next(named, stream.head)


def note_outcome(context: RelayContext, stream: LiveStream, *, failed: bool) -> None:
    """Note whether a first replica failed a request that it ran."""
    context.failures.record(
        stream.head.name,
        stream.request.route.name,
        context.clock.monotonic(),
        failed=failed,
    )


def record_progress(context: RelayContext, stream: LiveStream) -> None:
    """Note that an event has come."""
    stream.progress = context.clock.monotonic()
    stream.delivered += 1
    stream.told = False
    if not stream.cleared and stream.ran(stream.progress):
        stream.cleared = True
        context.quarantine.record_run(stream.request.digest)
    if not stream.begun:
        stream.begun = True
        stream.first_event = stream.progress
        stream.exchange.ran += 1
        taken = stream.progress - stream.sent
        context.load.record_first_event(stream.path, taken, stream.progress)
        if taken > stream.request.route.objective * LATE_FRACTION:
            context.paces.check(stream.path)
        if not stream.delayed_by_loss:
            # A first event that waited for a lost replica tells nothing of
            # how full the first one is.
            context.windows.record_first_event(
                stream.head.name,
                taken,
                stream.request.route.objective,
                stream.progress,
            )
        stream.exchange.detail.setdefault(
            'first', round_seconds(stream.progress - stream.request.arrived)
        )


def note_failure(
    context: RelayContext,
    stream: LiveStream,
    progress: Progress,
    kind: SendErrorKind,
    reason: str,
) -> None:
    """Note that a try ended without an answer."""
    if kind is not SendErrorKind.UNSENT:
        progress.lost = True
    if stream.reason:
        progress.excluded.add(stream.head.name)
    if kind is SendErrorKind.LOST:
        stream.exchange.ran += _count_end(stream)
    stream.exchange.record(
        catalogue.EXCHANGE_FAILED,
        replica=stream.head.name,
        reason=reason,
        outcome=kind.value,
        answered=stream.answered,
        events=stream.delivered,
        last_event=progress.splitter.last,
    )
    if kind is not SendErrorKind.INVALID and reason != 'silent':
        context.replicas.suspect(
            stream.head, reason, full=kind is not SendErrorKind.UNSENT
        )


def _count_end(stream: LiveStream) -> int:
    """Tell what the end of a try adds to the runs that the route allows.

    A run that ended with its first replica doesn't count. One that this node
    cut off does, and may have begun though nothing of it came: seven streams
    ran on three first replicas where two were allowed.
    """
    if stream.reason in {'', FIRST_REPLICA_LOST}:
        return -1 if stream.begun else 0
    return 0 if stream.begun else 1
