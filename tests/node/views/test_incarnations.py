"""What a node believes of replicas that start again."""

from dataclasses import replace

from fake_clock import FakeClock
from ryelatch_core.events import LineLog
from ryelatch_core.fleet import LayerRange, Replica, name_incarnation
from ryelatch_core.kernel import Hub
from ryelatch_core.membership import NEVER, compute_departure_bounds
from ryelatch_node.views import ReplicaView

_HELD = LayerRange(0, 8)


def _make_view() -> tuple[ReplicaView, FakeClock]:
    clock = FakeClock()
    log = LineLog('node-a', clock, len)
    return ReplicaView(log, clock, Hub(), compute_departure_bounds(2, 3)), clock


def _make(
    entry: str = 'i-1',
    started_at: int = 0,
    layers: LayerRange | None = _HELD,
    address: str = '10.0.0.1:80',
) -> Replica:
    return Replica(
        name_incarnation(entry, started_at),
        'model',
        address,
        'zone-a',
        'big',
        layers,
        entry=entry,
        started_at=started_at,
    )


def test_later_life_replaces_the_earlier() -> None:
    """A replica starts again under its entry.

    What was seen of the earlier life, such as that it could not be reached,
    would keep work and orders from the later one for seconds.
    """
    view, _ = _make_view()
    first = _make(started_at=1000)
    view.put(first)
    view.suspect(first, 'no report', full=False)
    view.put(_make(started_at=2000, layers=None))
    assert [one.started_at for one in view.list_reachable('model')] == [2000]
    assert first.name in view.list_unreachable()


def test_older_life_after_a_newer_one_is_ignored() -> None:
    """A part of the store lags: it tells of the life before the crash.

    Taken for new, layers that nobody holds would get requests again.
    """
    view, _ = _make_view()
    view.put(_make(started_at=2000, layers=None))
    view.put(_make(started_at=1000))
    view.replace([_make(started_at=1000)], unanswered=NEVER)
    assert [one.layers for one in view.replicas.values()] == [None]


def test_new_entry_at_an_address_ends_the_old_one() -> None:
    """A replica comes back at its address under another entry.

    The old entry stays for three heartbeats. Paths that passed through both
    were refused, as the same address came twice.
    """
    view, _ = _make_view()
    view.put(_make('i-1'))
    view.put(_make('i-2', layers=None))
    assert list(view.replicas) == ['i-2']


def test_late_entry_of_before_a_crash_is_ignored() -> None:
    """An entry written before a crash arrives after that of the next life.

    It was cut off from the registry meanwhile and makes its entry anew.
    """
    view, _ = _make_view()
    view.put(_make('i-1'))
    view.remove('i-1', unanswered=NEVER)
    view.put(_make('i-2', layers=None))
    view.put(_make('i-1'))
    assert list(view.replicas) == ['i-2']


def test_entry_of_another_kind_ends_nobody() -> None:
    """Someone else writes an entry with the address of a sound replica."""
    view, _ = _make_view()
    view.put(_make('i-1'))
    view.put(replace(_make('i-2'), service='booking', accelerator=''))
    assert set(view.replicas) == {'i-1', 'i-2'}


def test_report_is_believed_before_the_entry() -> None:
    """A report denies what the entry says, which is written again just then.

    The replica has started again and holds nothing; its entry tells so a
    second later.
    """
    view, clock = _make_view()
    view.put(_make())
    view.apply_report(view.replicas['i-1'], None, 0)
    view.put(_make())
    assert view.replicas['i-1'].layers is None
    clock.now += 5
    view.freshness.confirm(clock.now - 1)
    view.drop_expired()
    assert view.replicas['i-1'].layers == _HELD


def test_entry_heard_late_is_not_believed() -> None:
    """The store is silent while a replica starts again and says it is empty.

    The entry of before is heard three seconds later, when the store is back.
    Every path through the replica was refused until the next entry came.
    """
    view, clock = _make_view()
    view.put(_make(layers=LayerRange(0, 4)))
    view.put(_make())
    view.freshness.confirm(clock.now - 0.1)
    view.apply_report(view.replicas['i-1'], None, 0)
    clock.now += 3
    view.put(_make())
    view.drop_expired()
    assert view.replicas['i-1'].layers is None
    view.freshness.confirm(clock.now)
    view.drop_expired()
    assert view.replicas['i-1'].layers == _HELD


def test_report_of_a_later_life_makes_it_known() -> None:
    """A report tells that a replica started again before its entry does."""
    view, _ = _make_view()
    view.put(_make(started_at=1000))
    known = next(iter(view.replicas.values()))
    view.apply_report(known, None, 2000)
    view.put(_make(started_at=1000))
    assert [one.started_at for one in view.replicas.values()] == [2000]


def test_late_report_of_before_is_ignored() -> None:
    """A report comes late: the replica has started again meanwhile."""
    view, _ = _make_view()
    view.put(_make(started_at=2000, layers=None))
    known = next(iter(view.replicas.values()))
    view.apply_report(known, _HELD, 1000)
    assert [one.layers for one in view.replicas.values()] == [None]


def test_ended_life_does_not_come_back() -> None:
    """Another replica answers at an address; the entry is listed for long."""
    view, _ = _make_view()
    view.put(_make())
    view.end(view.replicas['i-1'])
    view.replace([_make()], unanswered=NEVER)
    assert not view.replicas
    assert 'i-1' in view.list_unreachable()
