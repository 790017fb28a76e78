"""Tells from the log lines of all processes what became of a request."""

import json
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

BEFORE_SECONDS = 3.0
"""How long before a request changes of belief are taken to matter.

An outage of the store shows at a request three seconds later at the latest.
"""

_BELIEFS = frozenset(
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
        'registry-stale',
        'registry-fresh',
        'replica-suspected',
        'upstream-down',
        'order-sent',
        'order-refused',
        'order-unanswered',
        'lease-taken',
        'lease-lost',
        'node-started',
        'node-draining',
        'node-stopped',
        'task-crashed',
        'lines-dropped',
    )
)

_ENDS = frozenset(
    ('request-suspected', 'request-quarantined', 'request-released')
)
"""What is known of all requests that ask for the same, at any process."""

_CAUSES = MappingProxyType(
    {
        'keys are unconfirmed': (
            'the node had no fresh word from the store, so it could not know '
            'whether the key was still valid'
        ),
        'layers are missing': 'no replica held some layers of the model',
        'all paths are full': 'every path had a replica without room',
        'no upstream has room': 'every replica of the service refused it',
        'the answer was lost': (
            'an upstream took the request and its answer did not come back'
        ),
        'replicas ended under this request': (
            'replicas had ended that began to run what it asks for, so it is '
            'kept from others; see request-suspected for each of them'
        ),
        'the time is over': 'no answer came within the time of its route',
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
    """

    time: float
    process: str
    name: str
    detail: Mapping[str, Any]


@dataclass(frozen=True)
class Explanation:
    """What became of a request.

    :param lines: of the request itself, in order.
    :param state_changes: changes at the same process shortly before and meanwhile.
    :param cause: the likely cause of its end, in a sentence.
    """

    lines: tuple[Line, ...]
    state_changes: tuple[Line, ...]
    cause: str


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Read the lines of one or more processes; other text is passed over."""
    for text in texts:
        start = text.find('{"time"')
        if start < 0:
            continue
        try:
            found = json.loads(text[start:])
        except ValueError:
            continue
        yield Line(found['time'], found['process'], found['name'], found)


def explain_request(lines: Iterable[Line], request: str) -> Explanation | None:
    """Find the story of a request.

    :returns: nothing if no line names it.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    own = tuple(
        line for line in ordered if line.detail.get('request') == request
    )
    if not own:
        return None
    state_changes = tuple(
        line
        for line in ordered
        if line.time <= own[-1].time
        and (_was_believed(line, own) or _asks_the_same(line, own))
    )
    cause = _find_cause(own, state_changes) + _tell_missing(own)
    return Explanation(own, state_changes, cause)


def _was_believed(line: Line, own: tuple[Line, ...]) -> bool:
    """Whether a line tells of a change at a request's process by then."""
    return (
        line.name in _BELIEFS
        and line.time >= own[0].time - BEFORE_SECONDS
        and line.process in {one.process for one in own}
    )


def _asks_the_same(line: Line, own: tuple[Line, ...]) -> bool:
    """Whether a line tells of replicas that ended under the same."""
    digests = {one.detail.get('digest') for one in own} - {None, ''}
    return line.name in _ENDS and line.detail.get('digest') in digests


def _find_cause(own: tuple[Line, ...], state_changes: tuple[Line, ...]) -> str:
    reasons = [
        str(line.detail.get('reason'))
        for line in own
        if line.name == 'exchange-refused'
    ]
    if reasons:
        reason = reasons[-1].partition(',')[0]
        return _add_belief(_CAUSES.get(reason, reasons[-1]), state_changes)
    failed = [line for line in own if line.name == 'exchange-failed']
    last = own[-1].name
    if last == 'exchange-left':
        return 'the client closed its connection'
    if failed:
        where = failed[-1].detail
        what = where.get('reason') or f'status {where.get("status")}'
        told = f'replica {where.get("replica")} failed it: {what}'
        return _add_belief(told, state_changes)
    if last == 'exchange-ended':
        return 'it was answered'
    return 'its end is not in these lines'


def _tell_missing(own: tuple[Line, ...]) -> str:
    """Say so if a replica was chosen whose entry was missing by then."""
    seconds = max((line.detail.get('missing', 0) for line in own), default=0)
    if not seconds:
        return ''
    return f'; it went to a replica whose entry was missing for {seconds} s'


def _add_belief(cause: str, state_changes: tuple[Line, ...]) -> str:
    if not state_changes:
        return cause
    line = state_changes[-1]
    return f'{cause}; the last change before: {line.name}'


def count_reasons(lines: Iterable[Line]) -> dict[str, int]:
    """Count why requests were refused, failed or broken."""
    counts: dict[str, int] = {}
    for line in lines:
        if line.name in {'exchange-refused', 'exchange-failed'}:
            reason = line.detail.get('reason') or line.detail.get('status')
            label = f'{line.name}: {reason}'
            counts[label] = counts.get(label, 0) + 1
    return dict(sorted(counts.items(), key=lambda pair: -pair[1]))
