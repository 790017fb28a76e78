"""Records the attempts of a request and the state of replicas they reveal."""

from dataclasses import dataclass, field

from ryelatch_core.events import catalogue
from ryelatch_core.fleet import LATE_SHARE, Replica
from ryelatch_core.streams import EventCutter
from ryelatch_node.relay._errors import SendErrorKind
from ryelatch_node.relay._exchange import round_seconds
from ryelatch_node.relay._parts import Parts
from ryelatch_node.relay._probe import Prober
from ryelatch_node.relay._stream import HEAD_LOST, LiveStream
from ryelatch_node.relay._upstream import Answer

_UNAVAILABLE = 503
_STALL_FRACTION = 0.75
"""Fraction of the upstreams' stall timeout that shows a lost replica.

A refusal that took longer comes from a path that waited for that replica.
"""


@dataclass
class Progress:
    """What the attempts of one request have brought so far.

    :param cutter: cuts the answer into events, over all attempts.
    :param left: first replicas whose runs failed or were interrupted, which
        other attempts avoid where they can.
    :param may_have_run: whether an attempt may have run without an answer.
    :param crashes: first replicas that crashed when a run had just begun.
    :param failure_answer: the last error response of a replica and its body;
        it is passed on if no other attempt succeeds.
    """

    cutter: EventCutter
    left: set[str] = field(default_factory=set)
    may_have_run: bool = False
    crashes: int = 0
    failure_answer: tuple[Answer, bytes] | None = None


def handle_refusal(
    parts: Parts,
    prober: Prober,
    stream: LiveStream,
    answer: Answer,
) -> None:
    """Suspect the replica that a refusal names as its cause.

    A refusal that took long comes from a path that waited for a lost replica;
    an immediate one comes from a path with a full replica.
    """
    waited = parts.clock.monotonic() - stream.progress
    stalled = waited > parts.startup.stall_seconds * _STALL_FRACTION
    fault = _find_fault(parts, stream, answer.terms.fault)
    reason = f'answered {answer.status}'
    if answer.status == _UNAVAILABLE and fault.name == stream.head.name:
        parts.windows.note_full(fault.name, parts.clock.monotonic())
    if answer.terms.entry in {'', stream.head.entry}:
        parts.replicas.suspect(fault, reason, full=not stalled)
        prober.check(fault)
    else:
        # Another replica has this address now, so the first replica of the
        # path has crashed, and a report from there would not be about it.
        parts.replicas.end(stream.head)
    stream.exchange.record(
        catalogue.EXCHANGE_FAILED,
        replica=fault.name,
        status=answer.status,
        outcome='not run',
        waited=round_seconds(waited),
    )


def _find_fault(parts: Parts, stream: LiveStream, address: str) -> Replica:
    matches = (
        stage.replica
        for stage in stream.path
        if stage.replica.address == address
    )
    return next(matches, stream.head)


def record_outcome(parts: Parts, stream: LiveStream, *, failed: bool) -> None:
    """Record whether a first replica failed a request that it ran."""
    parts.failures.note(
        stream.head.name,
        stream.inquiry.route.name,
        parts.clock.monotonic(),
        failed=failed,
    )


def note_progress(parts: Parts, stream: LiveStream) -> None:
    """Record that one or more events of a stream have arrived."""
    stream.progress = parts.clock.monotonic()
    stream.delivered += 1
    stream.stall_recorded = False
    if not stream.cleared and stream.ran(stream.progress):
        stream.cleared = True
        parts.quarantine.note_run(stream.inquiry.digest)
    if not stream.begun:
        stream.begun = True
        stream.first_event = stream.progress
        stream.exchange.ran += 1
        delay = stream.progress - stream.sent
        parts.load.note_first(stream.path, delay, stream.progress)
        if delay > stream.inquiry.route.objective * LATE_SHARE:
            parts.paces.check(stream.path)
        if not stream.hindered:
            # A first event that was delayed by a lost replica doesn't show
            # how full the first replica is.
            parts.windows.note_first(
                stream.head.name,
                delay,
                stream.inquiry.route.objective,
                stream.progress,
            )
        stream.exchange.detail.setdefault(
            'first', round_seconds(stream.progress - stream.inquiry.arrived)
        )


def record_failure(
    parts: Parts,
    stream: LiveStream,
    progress: Progress,
    kind: SendErrorKind,
    reason: str,
) -> None:
    """Record that an attempt finished without a complete answer."""
    if kind is not SendErrorKind.UNSENT:
        progress.may_have_run = True
    if stream.reason:
        progress.left.add(stream.head.name)
    if kind is SendErrorKind.LOST:
        stream.exchange.ran += _count_run(stream)
    stream.exchange.record(
        catalogue.EXCHANGE_FAILED,
        replica=stream.head.name,
        reason=reason,
        outcome=kind.value,
        answered=stream.answered,
        events=stream.delivered,
        last_event=progress.cutter.last,
    )
    if kind is not SendErrorKind.SPOILED and reason != 'silent':
        parts.replicas.suspect(
            stream.head, reason, full=kind is not SendErrorKind.UNSENT
        )


def _count_run(stream: LiveStream) -> int:
    """Return what a lost attempt adds to the count of the request's runs.

    A run that was lost with its first replica doesn't count, and is taken off
    again if it had begun. A run that this node interrupted counts even if no
    event arrived, as it may have begun: without that, seven streams ran on
    three first replicas where two were allowed.
    """
    if stream.reason in {'', HEAD_LOST}:
        return -1 if stream.begun else 0
    return 0 if stream.begun else 1
