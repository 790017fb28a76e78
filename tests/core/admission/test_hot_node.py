"""Load of a node to which most new connections of a zone go for a while."""

import itertools
import math
from collections import Counter

from ryelatch_core.admission import ConcurrencyWindows
from ryelatch_core.admission._window import WINDOW_LIFETIME_SECONDS

_REPLICAS = ('m-0', 'm-1', 'm-2')
_OBJECTIVE = 1.0
_ANSWER_SECONDS = 1.0
_FIRST_EVENT_SECONDS = 0.1


def _admit(
    windows: ConcurrencyWindows, start: float, seconds: float, rate: float
) -> tuple[int, int]:
    """Send requests at a rate to first replicas with room.

    :returns: how many were admitted, and how many there were.
    """
    running: list[tuple[float, str]] = []
    admitted = 0
    total = int(seconds * rate)
    for number in range(total):
        now = start + number / rate
        running = _end_requests(windows, running, now)
        name = _choose(windows)
        if name is not None:
            admitted += 1
            windows.add(name)
            running.append((now + _ANSWER_SECONDS, name))
            windows.record_first_event(
                name, _FIRST_EVENT_SECONDS, _OBJECTIVE, now
            )
    _end_requests(windows, running, math.inf)
    return admitted, total


def _end_requests(
    windows: ConcurrencyWindows, running: list[tuple[float, str]], now: float
) -> list[tuple[float, str]]:
    """End the requests that are due, and return the others."""
    for ends_at, name in running:
        if ends_at <= now:
            windows.remove(name)
    return [request for request in running if request[0] > now]


def _choose(windows: ConcurrencyWindows) -> str | None:
    """Choose the least busy first replica with room."""
    names = set(_REPLICAS) - windows.list_closed()
    return min(names, key=windows.requests.__getitem__, default=None)


def _shrink(windows: ConcurrencyWindows, now: float) -> None:
    """Let some requests be late, as in a burst of all nodes' clients."""
    for step, name in itertools.product(range(4), _REPLICAS):
        windows.record_first_event(name, _OBJECTIVE, _OBJECTIVE, now + step)


def test_old_windows_do_not_refuse_a_hot_node() -> None:
    """A node refuses most of its clients by what it learned long ago.

    Its windows shrank in a burst. It has had few requests since, so they have
    not grown, and then it gets the clients of eight nodes.
    """
    windows = ConcurrencyWindows(lambda: 0.5, Counter())
    _shrink(windows, 0)
    admitted, total = _admit(windows, 5, WINDOW_LIFETIME_SECONDS, 1)
    assert admitted >= 0.75 * total
    start = 5 + WINDOW_LIFETIME_SECONDS
    windows.forget_old(start)
    admitted, total = _admit(windows, start, 5, 24)
    assert admitted >= 0.75 * total


def test_recent_windows_hold() -> None:
    """Requests of a burst that goes on are all admitted, and all are late."""
    windows = ConcurrencyWindows(lambda: 0.5, Counter())
    _shrink(windows, 0)
    windows.forget_old(WINDOW_LIFETIME_SECONDS)
    assert windows.read_limit('m-0') < 1


def test_windows_hold_while_one_shrinks() -> None:
    """All but one replica lose their windows in an overload that goes on."""
    windows = ConcurrencyWindows(lambda: 0.5, Counter())
    _shrink(windows, 0)
    late = WINDOW_LIFETIME_SECONDS
    windows.record_first_event('m-0', _OBJECTIVE, _OBJECTIVE, late)
    windows.forget_old(late + 5)
    assert windows.read_limit('m-1') < 1
