"""Why requests were not served in time, as nodes' lines tell."""

import json
from typing import Any

from scripts import load_script

_OBJECTIVE = 0.5
_PAUSE = 0.25
_losses = load_script('losses')


def _write(name: str, request: str, **detail: Any) -> str:
    line = {
        'time': 1.0,
        'process': 'node-a',
        'name': name,
        'request': request,
        **detail,
    }
    return f'  0.1 node-a {json.dumps(line)}'


def _find(*texts: str) -> list[str]:
    attempts = _losses.gather(_losses.read_lines(texts))
    return [
        loss.cause for loss in _losses.find_losses(attempts, _OBJECTIVE, _PAUSE)
    ]


def _serve(request: str, first: float, *more: str) -> list[str]:
    ended = _write('exchange-ended', request, first=first, seconds=first + 1)
    return [_write('exchange-sent', request, path=[]), *more, ended]


def test_served_in_time_is_no_loss() -> None:
    assert not _find(*_serve('r-1', 0.1))


def test_refusal_has_its_reason() -> None:
    """Refused before it was sent anywhere, so no line tells its end."""
    refused = _write('exchange-refused', 'r-1', reason='all paths are full')
    assert _find(refused) == ['refused: all paths are full']


def test_late_first_event_blames_the_path() -> None:
    assert _find(*_serve('r-1', 0.9)) == ['late: crowded or slow path']


def test_stalled_stream_is_late() -> None:
    """Its first event came in time, and a later one did not."""
    stalled = _write('stream-stalled', 'r-1', pause=0.4)
    assert _find(*_serve('r-1', 0.1, stalled)) == ['late: stream stalled']


def test_noticed_pause_is_late() -> None:
    """The longest pause stands in the line of its end."""
    ended = _write('exchange-ended', 'r-1', first=0.1, seconds=2, pause=0.3)
    sent = _write('exchange-sent', 'r-1', path=[])
    assert _find(sent, ended) == ['late: crowded or slow path']


def test_lost_replica_is_the_cause() -> None:
    """What follows from the loss is not its cause."""
    lost = _write('exchange-failed', 'r-1', outcome='lost', reason='reset')
    stalled = _write('stream-stalled', 'r-1', pause=0.4)
    assert _find(*_serve('r-1', 0.9, lost, stalled)) == ['late: replica lost']


def test_other_text_is_skipped() -> None:
    assert not _find('a table', '{"time": cut o', '{"time":1,"name":"other"}')
