"""What it costs to follow the registry of a large fleet."""

import sys
from types import FrameType
from typing import Any

from fake_clock import FakeClock
from ryelatch_core.events import LineLog
from ryelatch_core.fleet import Replica
from ryelatch_core.kernel import Hub
from ryelatch_core.membership import compute_departure_bounds
from ryelatch_node.views import ReplicaView

_CHANGES = 20
_MORE = 1.5
"""Factor by which calls of functions may be more with twenty times as many."""


def _make_replica(number: int, slots: int = 6) -> Replica:
    name = f'b-{number}'
    address = f'10.{number // 250}.0.{number % 250}:8000'
    return Replica(name, 'plain', address, 'zone-a', slots=slots)


def _count_calls(fleet: int) -> int:
    """Count the calls of functions as some entries change and others go."""
    clock = FakeClock()
    log = LineLog('node', clock, len)
    view = ReplicaView(log, clock, Hub(), compute_departure_bounds(2, 3))
    view.replace(
        (_make_replica(number) for number in range(fleet)), unanswered=-1e9
    )
    calls = 0

    def count(frame: FrameType, event: str, _: Any) -> None:
        nonlocal calls
        calls += event == 'call'

    sys.setprofile(count)
    try:
        for number in range(_CHANGES):
            view.put(_make_replica(number, slots=7))
            view.put(_make_replica(fleet + number))
            view.remove(f'b-{_CHANGES + number}', unanswered=-1e9)
    finally:
        sys.setprofile(None)
    return calls


def test_change_costs_no_more_in_a_large_fleet() -> None:
    """Each entry that changed was held against all others."""
    assert _count_calls(2000) < _MORE * _count_calls(100)
