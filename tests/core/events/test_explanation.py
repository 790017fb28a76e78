"""Tests for explaining the outcome of a request from log lines."""

import json

from ryelatch_core.events import count_reasons, explain_request, read_lines


def _write(time: float, name: str, **detail: object) -> str:
    fields = {'time': time, 'process': 'edge-1', 'name': name, **detail}
    return json.dumps(fields, separators=(',', ':'))


_REFUSED = _write(
    101.5, 'exchange-refused', request='a', reason='keys are unconfirmed'
)
_LINES = (
    'something else on standard output',
    _write(90, 'store-out', reason='old'),
    _write(100, 'store-out', reason='TimeoutError'),
    _write(101, 'configuration-stale', age=3.7),
    f'prefix of a collector {_REFUSED}',
    _write(102, 'exchange-sent', request='b', replica='r-1'),
    _write(103, 'exchange-failed', request='b', replica='r-1', reason='silent'),
    _write(104, 'exchange-broken', request='b'),
    '{"time": broken',
)


def test_refused_request_leads_to_the_store() -> None:
    """A request with a key is refused, and its client reports the id.

    The explanation leads from the refusal to the state that caused it, and to
    the outage of the store behind that.
    """
    explanation = explain_request(read_lines(_LINES), 'a')
    assert explanation is not None
    names = [line.name for line in explanation.state_changes]
    assert names == ['store-out', 'configuration-stale']
    assert 'no fresh word from the store' in explanation.cause


def test_broken_stream_leads_to_its_replica() -> None:
    explanation = explain_request(read_lines(_LINES), 'b')
    assert explanation is not None
    assert 'replica r-1 failed the attempt: silent' in explanation.cause
    assert explain_request(read_lines(_LINES), 'nobody') is None


def test_reasons_are_counted() -> None:
    assert count_reasons(read_lines(_LINES)) == {
        'exchange-refused: keys are unconfirmed': 1,
        'exchange-failed: silent': 1,
    }


def test_request_to_a_missing_replica_is_told() -> None:
    """A client was cut off by a replica that had left seconds before.

    The explanation leads to the entry that was kept in use, and to the store
    outage.
    """
    lines = (
        _write(99, 'store-out', reason='TimeoutError', sent_ago=1.3),
        _write(99.1, 'replica-lapsed', replica='r-1', kept=1.1),
        _write(100, 'exchange-sent', request='c', replica='r-1', missing=0.9),
        _write(101, 'exchange-ended', request='c'),
    )
    explanation = explain_request(read_lines(lines), 'c')
    assert explanation is not None
    assert [line.name for line in explanation.state_changes] == [
        'store-out',
        'replica-lapsed',
    ]
    assert 'missing for 0.9 s' in explanation.cause


def test_refusal_leads_to_the_ends_behind_it() -> None:
    """A request is refused because replicas crashed on it elsewhere.

    Other nodes saw the crashes, for requests with other ids; the digest
    relates them. A crash on a request with another digest is left out.
    """
    lines = [
        _write(50, 'request-suspected', digest='d', replica='r-1', request='x'),
        _write(51, 'request-suspected', digest='e', replica='r-2', request='y'),
        _write(52, 'request-quarantined', digest='d', begun=['r-1']),
        _write(
            90,
            'exchange-refused',
            request='a',
            digest='d',
            reason='replicas ended under this request',
        ),
        _write(95, 'request-released', digest='d'),
    ]
    elsewhere = [text.replace('edge-1', 'edge-2') for text in lines[:2]]
    explanation = explain_request(read_lines([*elsewhere, *lines[2:]]), 'a')
    assert explanation is not None
    assert [line.time for line in explanation.state_changes] == [50, 52]
    assert explanation.cause.startswith('replicas had crashed')


def test_refusal_for_a_part_leads_to_its_crashes() -> None:
    """The crashes behind a refusal were of requests with other contents.

    They have a part of their prompts in common, for which it is refused.
    """
    lines = [
        _write(50, 'request-suspected', digest='d', parts=['p', 'q']),
        _write(51, 'request-suspected', digest='e', parts=['q']),
        _write(52, 'request-quarantined', digest='p', causes=['p']),
        _write(53, 'request-tried', digest='p', trials=1),
        _write(
            90,
            'exchange-refused',
            request='a',
            digest='f',
            causes=['p'],
            reason='replicas ended under a part of this prompt',
        ),
    ]
    explanation = explain_request(read_lines(lines), 'a')
    assert explanation is not None
    assert [line.time for line in explanation.state_changes] == [50, 52, 53]
    assert 'with this part' in explanation.cause


_FORWARDED = (
    _write(100, 'links-lost', service='model', zone='a', reached_by='edge-2'),
    _write(
        101,
        'exchange-forwarded',
        request='f',
        peer='edge-2',
        service='model',
        lost=['a', 'b'],
    ),
    json.dumps(
        {
            'time': 101.1,
            'process': 'edge-2',
            'name': 'forward-taken',
            'request': 'f',
            'origin': 'edge-1',
        },
        separators=(',', ':'),
    ),
    json.dumps(
        {
            'time': 101.2,
            'process': 'edge-2',
            'name': 'exchange-refused',
            'request': 'f',
            'reason': 'all paths are full',
        },
        separators=(',', ':'),
    ),
)


def test_forwarded_request_leads_to_lost_links() -> None:
    """Served elsewhere in the end, after the first other node refused it."""
    ended = _write(102, 'exchange-ended', request='f', status=200)
    explanation = explain_request(read_lines([*_FORWARDED, ended]), 'f')
    assert explanation is not None
    assert explanation.cause == (
        'it was answered; edge-1 had lost its links to model in a, b, and '
        'forwarded it to edge-2'
    )
    assert 'links-lost' in {line.name for line in explanation.state_changes}


def test_lost_helper_is_named() -> None:
    lines = [
        *_FORWARDED,
        _write(
            102,
            'exchange-failed',
            request='f',
            peer='edge-2',
            reason='EOFError',
        ),
        _write(103, 'exchange-broken', request='f'),
    ]
    explanation = explain_request(read_lines(lines), 'f')
    assert explanation is not None
    assert 'node edge-2 failed the attempt: EOFError' in explanation.cause


def test_silent_run_and_its_hedge_are_told() -> None:
    """An operator can't tell which run of a stream delivered, and why two."""
    lines = (
        _write(1, 'exchange-sent', request='c', replica='r-1'),
        _write(2, 'stream-hedged', request='c', replica='r-1', reason='silent'),
        _write(2.1, 'stream-resumed', request='c', replica='r-2'),
        _write(2.2, 'run-overtaken', request='c', replica='r-2', events=0),
        _write(3, 'exchange-ended', request='c', status=200),
    )
    explanation = explain_request(read_lines(lines), 'c')
    assert explanation is not None
    assert explanation.cause == (
        'it was answered; another run was started beside the one at r-1 '
        '(silent); overtaken: r-2'
    )


def test_obstacle_to_the_next_attempt_is_told() -> None:
    """An operator can't tell why a stream that broke was not resumed."""
    lines = (
        _write(1, 'exchange-failed', request='d', replica='r-1', reason='x'),
        _write(2, 'exchange-broken', request='d', obstacle='retry budget'),
    )
    explanation = explain_request(read_lines(lines), 'd')
    assert explanation is not None
    assert 'what prevented the next one: retry budget' in explanation.cause
