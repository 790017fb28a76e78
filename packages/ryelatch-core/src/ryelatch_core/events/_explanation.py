"""Explains the outcome of a request from the log lines of all processes."""

import itertools
import json
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

LOOKBACK_SECONDS = 3.0
"""Time before a request in which a state change may explain its outcome.

An outage of the store affects requests within three seconds.
"""

_STATE_CHANGES = frozenset(
    (
        'store-out',
        'store-back',
        'store-call-cut',
        'history-lost',
        'configuration-applied',
        'configuration-refused',
        'configuration-stale',
        'configuration-fresh',
        'replica-leaving',
        'replica-gone',
        'replica-lapsed',
        'replica-returned',
        'outage-longer',
        'registry-stale',
        'registry-fresh',
        'replica-suspected',
        'links-lost',
        'links-regained',
        'upstream-down',
        'order-sent',
        'order-refused',
        'order-unanswered',
        'lease-taken',
        'lease-lost',
        'controller-lost',
        'node-started',
        'node-draining',
        'node-stopped',
        'task-crashed',
        'lines-dropped',
    )
)

_QUARANTINE_EVENTS = frozenset(
    (
        'request-suspected',
        'request-quarantined',
        'request-released',
        'request-tried',
    )
)
"""Events that concern all requests with a key in common, at any process.

A key is the digest of a request's content, or that of a part of its prompt.
"""

_CAUSES = MappingProxyType(
    {
        'keys are unconfirmed': (
            'the node had no fresh word from the store, so it could not know '
            'whether the key was still valid'
        ),
        'layers are missing': 'no replica held some layers of the model',
        'all paths are full': 'every path had a replica at its limit',
        'no place in time': (
            'the zone had no room for it in time, as requests that go first '
            'took what was freed'
        ),
        'no node reaches the upstreams': (
            'the node had lost its links to the upstreams, and no other node '
            'took the request'
        ),
        'no upstream has room': 'all replicas of the service refused it',
        'the answer was lost': (
            'an upstream received the request, but its answer was not received'
        ),
        'replicas ended under this request': (
            'replicas had crashed that started this request, so it is not sent '
            'to others; see request-suspected for each of them'
        ),
        'replicas ended under a part of this prompt': (
            'replicas had crashed that started requests with this part, '
            'whatever else these held; see request-suspected for each of them'
        ),
        'the time is over': 'no answer came within the timeout of the route',
        'this node stops': 'the node was at the end of its planned stop',
        'no configuration yet': 'the node had just started',
        'no registry yet': 'the node had just started',
        'no such route': 'the configuration in force had no such route',
        'unknown key': 'the configuration in force had no such key',
    }
)


@dataclass(frozen=True)
class Line:
    """A log line.

    :param time: seconds since the epoch, by the clock of its VM.
    :param detail: all fields of the line.
    """

    time: float
    process: str
    name: str
    detail: Mapping[str, Any]


@dataclass(frozen=True)
class Explanation:
    """The outcome of a request with the events that led to it.

    :param lines: lines of the request itself, in order of time.
    :param state_changes: lines about state changes of the same process shortly
        before and during the request, and about replicas that crashed on
        requests with the same content, or with a part for which it is refused.
    :param cause: likely cause of the outcome, in a sentence.
    """

    lines: tuple[Line, ...]
    state_changes: tuple[Line, ...]
    cause: str


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Parse the log lines of one or more processes; other text is skipped."""
    for text in texts:
        start = text.find('{"time"')
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            continue
        yield Line(fields['time'], fields['process'], fields['name'], fields)


def explain_request(lines: Iterable[Line], request: str) -> Explanation | None:
    """Explain the outcome of a request.

    :param lines: log lines of all processes, in any order.
    :param request: ID of the request.
    :returns: ``None`` if no line contains the ID.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    request_lines = tuple(
        line for line in ordered if line.detail.get('request') == request
    )
    if not request_lines:
        return None
    state_changes = tuple(
        line
        for line in ordered
        if line.time <= request_lines[-1].time
        and (
            _is_relevant_change(line, request_lines)
            or _shares_key(line, request_lines)
        )
    )
    cause = (
        _determine_cause(_list_client_lines(request_lines), state_changes)
        + _describe_missing_entry(request_lines)
        + _describe_forwarding(request_lines)
        + _describe_hedges(request_lines)
    )
    return Explanation(request_lines, state_changes, cause)


def _is_relevant_change(line: Line, request_lines: tuple[Line, ...]) -> bool:
    """Return whether a line is a relevant state change at the same process."""
    return (
        line.name in _STATE_CHANGES
        and line.time >= request_lines[0].time - LOOKBACK_SECONDS
        and line.process
        in {request_line.process for request_line in request_lines}
    )


def _shares_key(line: Line, request_lines: tuple[Line, ...]) -> bool:
    """Return whether a line is about crashes that count against a request.

    It has the same content, or a part of its prompt for which it is refused.
    """
    keys = frozenset(
        itertools.chain.from_iterable(
            _list_keys(request_line, 'causes') for request_line in request_lines
        )
    )
    return line.name in _QUARANTINE_EVENTS and not keys.isdisjoint(
        _list_keys(line, 'parts')
    )


def _list_keys(line: Line, further: str) -> tuple[str, ...]:
    """List the keys that a line names: its digest, and those of a field."""
    digest = line.detail.get('digest')
    return (*([digest] if digest else []), *line.detail.get(further, ()))


def _determine_cause(
    request_lines: tuple[Line, ...], state_changes: tuple[Line, ...]
) -> str:
    reasons = [
        str(line.detail.get('reason'))
        for line in request_lines
        if line.name == 'exchange-refused'
    ]
    if reasons:
        reason = reasons[-1].partition(',')[0]
        return _add_last_change(_CAUSES.get(reason, reasons[-1]), state_changes)
    failures = [
        line
        for line in request_lines
        if line.name == 'exchange-failed'
        and line.detail.get('outcome') != 'in progress'
    ]
    last = request_lines[-1].name
    if last == 'exchange-left':
        return 'the client closed its connection'
    if failures:
        detail = failures[-1].detail
        fault = detail.get('reason') or f'status {detail.get("status")}'
        peer = detail.get('peer')
        subject = f'node {peer}' if peer else f'replica {detail.get("replica")}'
        message = f'{subject} failed the attempt: {fault}'
        obstacle = request_lines[-1].detail.get('obstacle')
        if obstacle:
            message = f'{message}; what prevented the next one: {obstacle}'
        return _add_last_change(message, state_changes)
    if last == 'exchange-ended':
        return 'it was answered'
    return 'its outcome is not in these lines'


def _list_client_lines(request_lines: tuple[Line, ...]) -> tuple[Line, ...]:
    """List the lines of the node that the client was connected to.

    What became of a request at a node that served it for another one is only a
    part of its outcome.

    :returns: all lines if they are not among them.
    """
    helpers = {
        line.process for line in request_lines if line.name == 'forward-taken'
    }
    own = tuple(line for line in request_lines if line.process not in helpers)
    return own or request_lines


def _describe_forwarding(request_lines: tuple[Line, ...]) -> str:
    """Describe why and through which nodes a request was forwarded.

    :returns: an empty string if it was not.
    """
    forwards = [
        line for line in request_lines if line.name == 'exchange-forwarded'
    ]
    if not forwards:
        return ''
    first = forwards[0]
    peers = ', '.join(str(line.detail.get('peer')) for line in forwards)
    zones = ', '.join(first.detail.get('lost', ()))
    return (
        f'; {first.process} had lost its links to {first.detail.get("service")}'
        f' in {zones}, and forwarded it to {peers}'
    )


def _describe_hedges(request_lines: tuple[Line, ...]) -> str:
    """Describe for which silence a request ran beside itself, and what won.

    :returns: an empty string if it did not.
    """
    hedges = [line for line in request_lines if line.name == 'stream-hedged']
    if not hedges:
        return ''
    silent = ', '.join(
        f'{line.detail.get("replica")} ({line.detail.get("reason")})'
        for line in hedges
    )
    overtaken = ', '.join(
        str(line.detail.get('replica'))
        for line in request_lines
        if line.name == 'run-overtaken'
    )
    ended = f'; overtaken: {overtaken}' if overtaken else ''
    return f'; another run was started beside the one at {silent}{ended}'


def _describe_missing_entry(request_lines: tuple[Line, ...]) -> str:
    """Describe how long a chosen replica had been missing from the store.

    A node continues to use a replica for some time after its registration
    disappeared from the store.

    :returns: an empty string if all chosen replicas were registered.
    """
    missing_seconds = max(
        (line.detail.get('missing', 0) for line in request_lines), default=0
    )
    if not missing_seconds:
        return ''
    return (
        '; it was sent to a replica whose entry was missing for '
        f'{missing_seconds} s'
    )


def _add_last_change(cause: str, state_changes: tuple[Line, ...]) -> str:
    if not state_changes:
        return cause
    line = state_changes[-1]
    return f'{cause}; the last change before: {line.name}'


def count_reasons(lines: Iterable[Line]) -> dict[str, int]:
    """Count the reasons why requests were refused or attempts failed."""
    counts: dict[str, int] = {}
    for line in lines:
        if line.name in {'exchange-refused', 'exchange-failed'}:
            reason = line.detail.get('reason') or line.detail.get('status')
            label = f'{line.name}: {reason}'
            counts[label] = counts.get(label, 0) + 1
    return dict(sorted(counts.items(), key=lambda pair: -pair[1]))
