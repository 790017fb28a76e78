"""Paths run every layer once, stay in their zone, and spread the load."""

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
    runs_each_layer_once,
)
from ryelatch_core.fleet import (
    LayerRange,
    LoadEstimate,
    LoadTracker,
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
    """A path is correct or empty for any ranges, with overlaps and gaps.

    Upstreams check neither, so a wrong path would produce wrong tokens that
    nobody notices.
    """
    replicas = [
        make_replica(f'r-{number}', first, min(80, first + size), zone, kind)
        for number, (first, size, zone, kind) in enumerate(held)
    ]
    path = choose_path(replicas, make_query(seed, prompt=1, answer=1))
    assert not path or runs_each_layer_once(path)
    covered = {
        layer
        for replica in replicas
        for layer in range(replica.layers.first, replica.layers.end)
    }
    if len(covered) < 80:
        assert not path


def test_paths_stay_in_one_zone() -> None:
    """Paths stay within one zone if all zones hold a copy.

    It may be another zone than the client's: only the text of the prompt and
    the events then use the shared link, not the activations.
    """
    fleet = _place()
    for zone in ('zone-a', 'zone-b', 'zone-c'):
        path = choose_path(fleet, make_query(zone=zone))
        assert runs_each_layer_once(path)
        assert len({stage.replica.zone for stage in path}) == 1


def test_lost_replica_leaves_paths() -> None:
    """Paths remain after the loss of any replica of a new plan.

    Requests that arrive before the repair use another zone if no other replica
    of their own zone holds the lost layers.
    """
    fleet = _place()
    for lost in fleet:
        for zone in ('zone-a', 'zone-b', 'zone-c'):
            query = make_query(zone=zone, avoid=frozenset((lost.name,)))
            path = choose_path(fleet, query)
            assert runs_each_layer_once(path)
            assert lost.name not in {stage.replica.name for stage in path}


def test_versions_are_not_mixed() -> None:
    """A path does not mix versions of the weights.

    If it did, its tokens would be those of neither version.
    """
    old = make_replica('old', 0, 40)
    new = dataclasses.replace(make_replica('new', 40, 80), version=2)
    assert not choose_path([old, new], make_query())


def test_moved_stream_keeps_its_first_part() -> None:
    """The path of a moved stream begins with exactly its former first stage.

    The first replica continues with the part that it has when a later replica
    is lost, even if another first replica would be faster.
    """
    head = make_replica('head', 0, 10, kind='l4')
    faster = make_replica('faster', 0, 40)
    lost = make_replica('lost', 30, 50)
    spares = [
        make_replica('spare', 10, 45, zone='zone-b'),
        make_replica('tail', 45, 80),
    ]
    first = Stage(head, LayerRange(0, 8))
    query = make_query(first_stage=first, avoid=frozenset(('lost',)))
    path = choose_path([head, faster, lost, *spares], query)
    assert runs_each_layer_once(path)
    assert path[0] == first


def test_load_spreads_over_copies() -> None:
    """A surge spreads over two replicas that hold the same layers.

    Nodes see their own requests only. If all of them sent to the nominally
    faster replica, its memory would fill while the other one idles.
    """
    replicas = [make_replica('one', 0, 30), make_replica('two', 0, 30)]
    rest = make_replica('rest', 30, 60)
    tail = make_replica('tail', 60, 80)
    tracker = LoadTracker()
    used: Counter[str] = Counter()
    rng = random.Random(3)
    for _ in range(40):
        query = make_query(
            sample=rng.random,
            local_tokens=tracker.tokens,
            load=tracker.estimate(0),
        )
        path = choose_path([*replicas, rest, tail], query)
        tracker.add(path, 991, 0)
        used[path[0].replica.name] += 1
    assert min(used['one'], used['two']) >= 15


def test_load_tracker_forgets_finished_requests() -> None:
    path = (Stage(make_replica('one', 0, 80), LayerRange(0, 80)),)
    tracker = LoadTracker()
    tracker.add(path, 100, 0)
    tracker.add(path, 50, 0)
    tracker.remove(path, 100, 0)
    assert dict(tracker.tokens) == {'one': 50}
    tracker.remove(path, 50, 0)
    assert not tracker.requests
    assert not tracker.tokens


def test_fast_copy_is_not_flooded() -> None:
    """Sixty nodes that send two requests a second each use a slow copy as well.

    Each node has at most one request in progress. By these alone the fast copy
    looked idle: all nodes sent everything there, and clients waited a second
    under normal load. The mean load of a node shows that of the others.
    """
    fast = [
        make_replica(f'fast-{first}', first, first + 20)
        for first in range(0, 80, 20)
    ]
    slow = [
        make_replica(f'slow-{first}', first, first + 4, kind='v100')
        for first in range(0, 80, 4)
    ]
    rng = random.Random(5)
    tracker = LoadTracker()
    tracker.set_node_count(60)
    used: Counter[str] = Counter()
    now = 0.0
    ends: list[tuple[float, tuple[Stage, ...]]] = []
    for _ in range(60):
        now += 0.5
        while ends and ends[0][0] <= now:
            end, path = ends.pop(0)
            tracker.remove(path, 991, end)
        query = make_query(
            sample=rng.random,
            local_tokens=tracker.tokens,
            load=tracker.estimate(now),
        )
        path = choose_path([*fast, *slow], query)
        tracker.add(path, 991, now)
        ends.append((now + 1.2, path))
        used[path[0].replica.name] += 1
    assert used['slow-0'] >= 4
    assert used['fast-0'] >= 30


def test_first_replica_keeps_free_slots() -> None:
    """A fast first replica with full slots is not chosen.

    It refuses further requests, and each of them returns a second later, while
    a slow one with free slots answers at once.
    """
    fast = dataclasses.replace(make_replica('fast', 0, 20), slots=96)
    slow = dataclasses.replace(make_replica('slow', 0, 10), slots=96)
    offered = [fast, slow, make_replica('next', 10, 20)]
    offered += [
        make_replica(f'rest-{first}', first, first + 20)
        for first in (20, 40, 60)
    ]
    # Requests that slow down no others, so that only the slots matter.
    profile = dataclasses.replace(TYPICAL_MODEL, sequence_ms=0)
    for taken, chosen in ((40, 'fast'), (96, 'slow')):
        load = LoadEstimate({'fast': taken}, {})
        query = make_query(sample=float, load=load, profile=profile)
        assert choose_path(offered, query)[0].replica.name == chosen


def test_new_node_learns_of_the_others_at_once() -> None:
    """Nodes that start together account for each other's load at once.

    With means that begin at zero, each of sixty nodes took the others to be
    idle for three seconds and sent everything to the fastest first replica.
    """
    path = (Stage(make_replica('one', 0, 80), LayerRange(0, 80)),)
    tracker = LoadTracker()
    tracker.set_node_count(60)
    tracker.estimate(0)
    tracker.add(path, 991, 0.1)
    assert tracker.estimate(0.5).requests['one'] > 20


def _make_zones(names: list[str]) -> list[object]:
    return [
        make_replica(f'{name}-{first}', first, first + 20, name)
        for name in names
        for first in (0, 20, 40, 60)
    ]


def test_few_of_many_zones_are_searched() -> None:
    """Only some zones of a large fleet are searched for a path.

    When each request was priced at all replicas of thirteen zones, nodes spent
    most of their time on paths, though requests mostly stay in their own zone.
    """
    offered = _make_zones([f'zone-{number:02}' for number in range(13)])
    samples: list[float] = []

    def draw() -> float:
        samples.append(0.5)
        return samples[-1]

    path = choose_path(offered, make_query(zone='zone-05', sample=draw))
    assert {stage.replica.zone for stage in path} == {'zone-05'}
    # One sample per zone for their order, one per replica searched.
    assert len(samples) == 13 + SEARCHED_ZONES * 4


def test_overflow_of_a_zone_spreads_over_all() -> None:
    """Requests of an overloaded zone spread over all other zones."""
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
    """The only zone with a path is found, whichever zones are sampled first."""
    offered = [
        replica
        for replica in _make_zones([f'zone-{number:02}' for number in range(8)])
        if replica.zone == 'zone-07' or replica.layers.first != 40
    ]
    for seed in range(20):
        path = choose_path(offered, make_query(seed, zone='zone-00'))
        assert {stage.replica.zone for stage in path} == {'zone-07'}
