"""How long replicas whose entries went missing in trouble stay in use."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from fake_clock import FakeClock
from ryelatch_core.events import LineLog
from ryelatch_core.fleet import LayerRange, Replica, name_incarnation
from ryelatch_core.kernel import Hub
from ryelatch_core.membership import NEVER, compute_departure_bounds
from ryelatch_node.views import ReplicaView


def _make_view() -> tuple[ReplicaView, FakeClock, Callable[[], list[str]]]:
    clock = FakeClock()
    log = LineLog('node-a', clock, len)
    view = ReplicaView(log, clock, Hub(), compute_departure_bounds(2, 3))
    for name in ('i-1', 'i-2'):
        view.put(_make(name))

    def list_available() -> list[str]:
        return [replica.name for replica in view.list_service('booking')]

    return view, clock, list_available


def _make(name: str, *, leaving: bool = False) -> Replica:
    return Replica(
        name=name,
        service='booking',
        address=f'{name}:80',
        zone='zone-a',
        accelerator='',
        layers=None,
        version=0,
        slots=6,
        leaving=leaving,
        entry=name,
    )


def test_entry_is_left_on_time() -> None:
    """A missing entry's deadline passes between two housekeeping rounds.

    Its replica would receive requests until the next round, half a second
    later.
    """
    view, clock, list_available = _make_view()
    view.remove('i-1', unanswered=99)
    clock.now = 99 + view.freshness.bounds.retention - 0.01
    assert list_available() == ['i-1', 'i-2']
    clock.now += 0.02
    assert list_available() == ['i-2']


def test_late_notice_keeps_nothing() -> None:
    """An outage is noticed four seconds after the call left unanswered."""
    view, _, list_available = _make_view()
    view.remove('i-1', unanswered=96)
    assert list_available() == ['i-2']


def test_no_trouble_keeps_nothing() -> None:
    view, _, list_available = _make_view()
    view.remove('i-1', unanswered=NEVER)
    assert list_available() == ['i-2']


def test_replica_that_said_it_leaves_is_not_kept() -> None:
    view, _, list_available = _make_view()
    view.put(_make('i-1', leaving=True))
    view.remove('i-1', unanswered=100)
    view.put(_make('i-1'))
    assert list_available() == ['i-2', 'i-1']


def test_trouble_that_goes_on_keeps_no_longer() -> None:
    """Calls fail repeatedly for minutes while the entry stays missing."""
    view, clock, list_available = _make_view()
    view.remove('i-1', unanswered=100)
    clock.now = 101.5
    view.replace([_make('i-2')], unanswered=101.4)
    assert list_available() == ['i-1', 'i-2']
    clock.now = 100 + view.freshness.bounds.retention
    view.replace([_make('i-2')], unanswered=102.2)
    assert list_available() == ['i-2']


def test_entry_that_is_back_stays() -> None:
    view, clock, list_available = _make_view()
    view.remove('i-1', unanswered=100)
    clock.now = 101.5
    assert view.find_missing(['i-1', 'i-2']) == pytest.approx(1.5)
    view.put(_make('i-1'))
    clock.now = 110
    view.drop_expired()
    assert list_available() == ['i-1', 'i-2']


def test_report_does_not_count_as_entry() -> None:
    """A replica left without announcing it, and still sends reports.

    If a report counted as the return of its entry, the replica would stay in
    use forever, as the entry can't be deleted a second time.
    """
    view, clock, list_available = _make_view()
    view.remove('i-1', unanswered=99.9)
    view.apply_report(view.replicas['i-1'], LayerRange(0, 4), 0)
    clock.now += 5
    assert list_available() == ['i-2']


def test_later_incarnations_report_is_no_entry() -> None:
    """A replica whose entry is missing reports that it has restarted."""
    view, clock, list_available = _make_view()
    view.remove('i-1', unanswered=99.9)
    view.apply_report(view.replicas['i-1'], None, 2000)
    assert list_available() == ['i-2', name_incarnation('i-1', 2000)]
    clock.now += 5
    assert list_available() == ['i-2']
    view.drop_expired()
    assert list(view.replicas) == ['i-2']


def test_denied_entry_does_not_bring_back() -> None:
    """An entry that a report contradicts is deferred, then deleted."""
    view, clock, list_available = _make_view()
    view.put(replace(_make('i-1'), layers=LayerRange(0, 4)))
    view.apply_report(view.replicas['i-1'], None, 0)
    view.put(replace(_make('i-1'), layers=LayerRange(0, 4)))
    view.remove('i-1', unanswered=99.9)
    clock.now += 1.5
    view.freshness.confirm(clock.now)
    view.drop_expired()
    clock.now += 5
    assert list_available() == ['i-2']


def test_leaving_is_dated_by_earlier_knowledge() -> None:
    """A node learns late that a replica leaves, so its streams have less time.

    The time of leaving is then the last one at which the list was confirmed
    without it, not the time of arrival.
    """
    view, clock, _ = _make_view()
    view.freshness.confirm(100)
    clock.now = 101.2
    view.put(_make('i-1', leaving=True))
    view.freshness.confirm(101.2)
    assert view.find_leaving_since('i-1') == 100
    assert view.find_leaving_since('i-2') is None


def test_longer_outage_keeps_missing_entries() -> None:
    """An entry expired in an outage that lasted longer than was known.

    Entries that went missing before the outage are dropped in time.
    """
    view, clock, list_available = _make_view()
    view.remove('i-1', unanswered=clock.now)
    clock.now += 1
    view.remove('i-2', unanswered=clock.now - 1)
    view.extend_missing(clock.now - 0.5, clock.now - 0.6)
    clock.now += 1.4
    view.drop_expired()
    assert list_available() == ['i-2']
    clock.now += 0.4
    assert not list_available()
