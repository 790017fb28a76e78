"""Paths run every layer once, stay in their zone, and spread."""

import dataclasses
import random
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from core_fleet import (
    TYPICAL_MODEL,
    make_fleet,
    make_query,
    make_replica,
    runs_once,
)
from ryelatch_core.fleet import (
    LayerRange,
    LoadTracker,
    LoadEstimate,
    Stage,
    choose_path,
    plan_moves,
)
from ryelatch_core.fleet._path import SEARCHED_ZONES


def _place() -> list[object]:
    return [
        dataclasses.replace(move.replica, layers=move.layers)
        for move in plan_moves(make_fleet(), TYPICAL_MODEL)
    ]


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 79),
            st.integers(1, 80),
            st.sampled_from(('zone-a', 'zone-b')),
            st.sampled_from(('a100', 'v100', 'l4')),
        ),
        max_size=20,
    ),
    st.integers(0, 1000),
)
def test_each_layer_once_or_no_path(
    held: list[tuple[int, int, str, str]], seed: int
) -> None:
    """Replicas hold any ranges, with overlaps and gaps.

    Upstreams check neither gaps nor overlaps: a wrong path makes wrong
    tokens, and nobody sees it. A path is either right or not given at all.
    """
    replicas = [
        make_replica(f'r-{number}', first, min(80, first + size), zone, kind)
        for number, (first, size, zone, kind) in enumerate(held)
    ]
    path = choose_path(replicas, make_query(seed, prompt=1, answer=1))
    assert not path or runs_once(path)
    covered = {
        layer
        for replica in replicas
        for layer in range(replica.layers.first, replica.layers.end)
    }
    if len(covered) < 80:
        assert not path


def test_paths_stay_in_one_zone() -> None:
    """All zones hold a copy; a request need not cross the shared pipe.

    Which zone it is may be another than its client's: only the text of the
    prompt and the events cross then, not the activations.
    """
    fleet = _place()
    for zone in ('zone-a', 'zone-b', 'zone-c'):
        path = choose_path(fleet, make_query(zone=zone))
        assert runs_once(path)
        assert len({stage.replica.zone for stage in path}) == 1


def test_lost_replica_leaves_paths() -> None:
    """Each replica of a fresh plan is lost in turn.

    Requests that come before any repair still find a path, over another
    zone where their own has nobody else for those layers.
    """
    fleet = _place()
    for lost in fleet:
        for zone in ('zone-a', 'zone-b', 'zone-c'):
            query = make_query(zone=zone, avoid=frozenset((lost.name,)))
            path = choose_path(fleet, query)
            assert runs_once(path)
            assert lost.name not in {stage.replica.name for stage in path}


def test_versions_are_not_mixed() -> None:
    """Half of the layers are held in the next version of the weights.

    A path over both would make tokens of neither.
    """
    old = make_replica('old', 0, 40)
    new = dataclasses.replace(make_replica('new', 40, 80), version=2)
    assert not choose_path([old, new], make_query())


def test_moved_stream_keeps_its_first_part() -> None:
    """A replica in the middle of a path is lost.

    The first replica goes on with the part that it has, so the new path must
    begin with just that, though another replica would be faster.
    """
    head = make_replica('head', 0, 10, kind='l4')
    faster = make_replica('faster', 0, 40)
    lost = make_replica('lost', 30, 50)
    spares = [
        make_replica('spare', 10, 45, zone='zone-b'),
        make_replica('tail', 45, 80),
    ]
    first = Stage(head, LayerRange(0, 8))
    query = make_query(head=first, avoid=frozenset(('lost',)))
    path = choose_path([head, faster, lost, *spares], query)
    assert runs_once(path)
    assert path[0] == first


def test_load_spreads_over_copies() -> None:
    """Two replicas hold the same layers, and a surge comes.

    Nodes see their own requests only; sending all to the nominally faster
    one would fill its memory while the other idles.
    """
    replicas = [make_replica('one', 0, 30), make_replica('two', 0, 30)]
    rest = make_replica('rest', 30, 60)
    tail = make_replica('tail', 60, 80)
    book = LoadTracker()
    used: Counter[str] = Counter()
    chance = random.Random(3)
    for _ in range(40):
        query = make_query(
            draw=chance.random,
            local_tokens=book.tokens,
            load=book.estimate(0),
        )
        path = choose_path([*replicas, rest, tail], query)
        book.add(path, 991, 0)
        used[path[0].replica.name] += 1
    assert min(used['one'], used['two']) >= 15


def test_load_tracker_forgets_finished_requests() -> None:
    path = (Stage(make_replica('one', 0, 80), LayerRange(0, 80)),)
    book = LoadTracker()
    book.add(path, 100, 0)
    book.add(path, 50, 0)
    book.remove(path, 100, 0)
    assert dict(book.tokens) == {'one': 50}
    book.remove(path, 50, 0)
    assert not book.requests
    assert not book.tokens


def test_fast_copy_is_not_flooded() -> None:
    """Sixty nodes send two requests a second each; one copy is fast.

    A node has none or one request in progress, so the fast copy looked idle
    to each of them: all sent all there, and callers waited a second on a
    calm day while the slow copy idled. What a node has had lately tells it
    what the others have.
    """
    fast = [
        make_replica(f'fast-{first}', first, first + 20)
        for first in range(0, 80, 20)
    ]
    slow = [
        make_replica(f'slow-{first}', first, first + 4, kind='v100')
        for first in range(0, 80, 4)
    ]
    chance = random.Random(5)
    book = LoadTracker()
    book.set_node_count(60)
    used: Counter[str] = Counter()
    now = 0.0
    ends: list[tuple[float, tuple[Stage, ...]]] = []
    for _ in range(60):
        now += 0.5
        while ends and ends[0][0] <= now:
            end, path = ends.pop(0)
            book.remove(path, 991, end)
        query = make_query(
            draw=chance.random,
            local_tokens=book.tokens,
            load=book.estimate(now),
        )
        path = choose_path([*fast, *slow], query)
        book.add(path, 991, now)
        ends.append((now + 1.2, path))
        used[path[0].replica.name] += 1
    assert used['slow-0'] >= 4
    assert used['fast-0'] >= 30


def test_first_replica_keeps_free_slots() -> None:
    """The fast first replica works on as many requests as it has slots for.

    It refuses more, and each refused one comes back a second later. A slow
    one with free slots answers at once.
    """
    fast = dataclasses.replace(make_replica('fast', 0, 20), slots=96)
    slow = dataclasses.replace(make_replica('slow', 0, 10), slots=96)
    offered = [fast, slow, make_replica('next', 10, 20)]
    offered += [
        make_replica(f'rest-{first}', first, first + 20)
        for first in (20, 40, 60)
    ]
    # Requests that cost others nothing, so that only the slots tell.
    profile = dataclasses.replace(TYPICAL_MODEL, sequence_ms=0)
    for taken, chosen in ((40, 'fast'), (96, 'slow')):
        load = LoadEstimate({'fast': taken}, {})
        query = make_query(draw=float, load=load, profile=profile)
        assert choose_path(offered, query)[0].replica.name == chosen


def test_new_node_learns_of_the_others_at_once() -> None:
    """Sixty nodes have just been started together, and clients come back.

    With means that begin at nothing, each took the others to be idle for
    three seconds and sent all to the fastest first replica.
    """
    path = (Stage(make_replica('one', 0, 80), LayerRange(0, 80)),)
    book = LoadTracker()
    book.set_node_count(60)
    book.estimate(0)
    book.add(path, 991, 0.1)
    assert book.estimate(0.5).requests['one'] > 20


def _make_zones(names: list[str]) -> list[object]:
    return [
        make_replica(f'{name}-{first}', first, first + 20, name)
        for name in names
        for first in (0, 20, 40, 60)
    ]


def test_few_of_many_zones_are_searched() -> None:
    """A fleet of thirteen zones; its nodes spent most of their time on paths.

    Each request was priced at every replica of every zone, though it mostly
    stays in its own.
    """
    offered = _make_zones([f'zone-{number:02}' for number in range(13)])
    drawn: list[float] = []

    def draw() -> float:
        drawn.append(0.5)
        return drawn[-1]

    path = choose_path(offered, make_query(zone='zone-05', draw=draw))
    assert {stage.replica.zone for stage in path} == {'zone-05'}
    # One draw a zone for their order, and one a replica that is priced.
    assert len(drawn) == 13 + SEARCHED_ZONES * 4


def test_overflow_of_a_zone_spreads_over_all() -> None:
    """One zone is late; each request of it goes to another one's paths."""
    names = [f'zone-{number:02}' for number in range(8)]
    offered = _make_zones(names)
    late = {f'zone-00-{first}': 9.0 for first in (0, 20, 40, 60)}
    used = Counter(
        choose_path(offered, make_query(seed, zone='zone-00', excess=late))[
            0
        ].replica.zone
        for seed in range(140)
    )
    assert set(used) == set(names[1:])
    assert max(used.values()) <= 3 * 140 / 7


def test_only_zone_with_a_path_is_found() -> None:
    """All other zones have lost a layer; whichever is drawn, none is lost."""
    offered = [
        one
        for one in _make_zones([f'zone-{number:02}' for number in range(8)])
        if one.zone == 'zone-07' or one.layers.first != 40
    ]
    for seed in range(20):
        path = choose_path(offered, make_query(seed, zone='zone-00'))
        assert {stage.replica.zone for stage in path} == {'zone-07'}
