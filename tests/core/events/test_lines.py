"""Log lines are bounded and never stop the router."""

import json
from typing import Any

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.kernel import SystemClock


class _Clock(SystemClock):
    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now


class _Reader:
    """Standard output whose reader may have stopped."""

    def __init__(self) -> None:
        self.blocked = False
        self.taken = b''
        self.most = 10_000

    def write(self, line: bytes) -> int:
        if self.blocked:
            raise BlockingIOError
        self.taken += line[: self.most]
        return min(len(line), self.most)

    def read(self) -> list[dict[str, Any]]:
        return [json.loads(line) for line in self.taken.splitlines()]


def test_stopped_reader_costs_lines_not_requests() -> None:
    """What reads standard output hangs; requests go on failing.

    Lines wait up to a bound, the rest are dropped. When the reader is back
    it gets those that waited, and the count of those that are missing.
    """
    reader = _Reader()
    log = LineLog('node-a', _Clock(), reader.write)
    reader.blocked = True
    for number in range(2500):
        log.record(catalogue.EXCHANGE_REFUSED, request=str(number))
    reader.blocked = False
    log.flush()
    log.report_dropped()
    lines = reader.read()
    assert len(lines) == 2001
    assert lines[-1]['name'] == 'lines-dropped'
    assert lines[-1]['lines'] == 500
    assert log.counts['exchange-refused'] == 2500


def test_lines_of_success_are_bounded_in_a_second() -> None:
    """A storm of requests goes well; a few fail in the middle of it.

    Lines of what went well are left out beyond a limit and counted; no line
    of a failure is.
    """
    reader = _Reader()
    clock = _Clock()
    log = LineLog('node-a', clock, reader.write)
    for _ in range(1000):
        log.record(catalogue.EXCHANGE_ENDED)
    log.record(catalogue.EXCHANGE_FAILED)
    assert log.dropped == 700
    assert reader.read()[-1]['name'] == 'exchange-failed'
    clock.now += 1
    log.record(catalogue.EXCHANGE_ENDED)
    assert reader.read()[-1]['name'] == 'exchange-ended'


def test_partly_written_line_goes_on() -> None:
    """A pipe is nearly full and takes a part of a line."""
    reader = _Reader()
    log = LineLog('node-a', _Clock(), reader.write)
    reader.most = 30
    log.record(catalogue.NODE_STARTED)
    log.record(catalogue.NODE_STOPPED)
    for _ in range(30):
        log.flush()
    names = [line['name'] for line in reader.read()]
    assert names == ['node-started', 'node-stopped']


def test_field_may_have_any_name() -> None:
    """A field is named like the parameter that takes the event.

    The call failed, and with it the task that followed the store: the node
    served on with an old configuration, and nothing told why.
    """
    reader = _Reader()
    log = LineLog('node-a', _Clock(), reader.write)
    log.record(catalogue.HISTORY_LOST, kind='config')
    assert reader.read()[0]['kind'] == 'config'
