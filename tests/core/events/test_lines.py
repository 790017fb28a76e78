"""Tests that log lines are bounded and never block the router."""

import json
from typing import Any

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.events._lines import (
    MAX_URGENT_LINES,
    URGENT_LINES_PER_SECOND,
)
from ryelatch_core.kernel import SystemClock


class _Clock(SystemClock):
    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now


class _Reader:
    """Standard output whose reader may stall."""

    def __init__(self) -> None:
        self.blocked = False
        self.written = b''
        self.max_bytes = 10_000

    def write(self, line: bytes) -> int:
        if self.blocked:
            raise BlockingIOError
        self.written += line[: self.max_bytes]
        return min(len(line), self.max_bytes)

    def read(self) -> list[dict[str, Any]]:
        return [json.loads(line) for line in self.written.splitlines()]


def test_stopped_reader_costs_lines_not_requests() -> None:
    """The reader of standard output hangs while requests keep failing.

    Lines are queued up to a limit and further ones are dropped. When the
    reader continues, it gets the queued lines and the count of dropped ones.
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
    """One of many requests within a second fails.

    Lines of successful requests beyond a limit are dropped and counted; lines
    of failures are always written.
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
    """A pipe is nearly full and accepts only a part of a line."""
    reader = _Reader()
    log = LineLog('node-a', _Clock(), reader.write)
    reader.max_bytes = 30
    log.record(catalogue.NODE_STARTED)
    log.record(catalogue.NODE_STOPPED)
    for _ in range(30):
        log.flush()
    names = [line['name'] for line in reader.read()]
    assert names == ['node-started', 'node-stopped']


def test_field_may_have_any_name() -> None:
    """A field has the same name as the parameter for the event.

    If the call failed, so would the task that follows the store: the node
    would continue with an outdated configuration, without any error shown.
    """
    reader = _Reader()
    log = LineLog('node-a', _Clock(), reader.write)
    log.record(catalogue.HISTORY_LOST, kind='config')
    assert reader.read()[0]['kind'] == 'config'


def test_lines_of_refusals_are_bounded_in_number() -> None:
    """Clients fill the log with requests that are refused."""
    clock = _Clock()
    log = LineLog('node-a', clock, len)
    for _ in range(10):
        clock.now += 1
        for _ in range(2000):
            log.record(catalogue.EXCHANGE_REFUSED)
    written = 20_000 - log.dropped
    assert written <= MAX_URGENT_LINES + 10 * URGENT_LINES_PER_SECOND


def test_text_of_a_client_is_cut() -> None:
    """A line of the log is as long as a client likes."""
    reader = _Reader()
    log = LineLog('node-a', _Clock(), reader.write)
    log.record(catalogue.EXCHANGE_REFUSED, request='x' * 8000, trace='y' * 999)
    line = reader.read()[0]
    assert line['request'].startswith('xxx')
    assert line['request'].endswith('(7744 more)')
    assert line['trace'] == 'y' * 999
