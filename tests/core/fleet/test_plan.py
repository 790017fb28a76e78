"""Plans hold all layers in each zone, fit the memory, and change little."""

import dataclasses

from hypothesis import given, settings
from hypothesis import strategies as st

from core_fleet import TYPICAL_MODEL, make_fleet, make_replica
from ryelatch_core.fleet import (
    LayerRange,
    Replica,
    estimate_capacity,
    plan_moves,
)


def _apply(fleet: list[Replica]) -> list[Replica]:
    moves = {
        move.replica.name: move
        for move in plan_moves(fleet, TYPICAL_MODEL, allow_relayout=True)
    }
    return [
        dataclasses.replace(replica, layers=moves[replica.name].layers)
        if replica.name in moves
        else replica
        for replica in fleet
    ]


def _find_gaps(held: list[LayerRange]) -> set[int]:
    return set(range(80)) - {
        layer for layers in held for layer in range(layers.first, layers.end)
    }


def _list_held(fleet: list[Replica], zone: str = '') -> list[LayerRange]:
    return [
        replica.layers
        for replica in fleet
        if replica.layers and zone in {'', replica.zone}
    ]


def test_each_zone_holds_a_copy_with_room() -> None:
    """The first plan of an empty fleet holds all layers in each zone.

    The replica with the least headroom still has memory for thirty typical
    requests beside its layers.
    """
    fleet = _apply(make_fleet())
    for zone in ('zone-a', 'zone-b', 'zone-c'):
        assert not _find_gaps(_list_held(fleet, zone))
    for replica in fleet:
        if replica.layers:
            kind = TYPICAL_MODEL.accelerators[replica.accelerator]
            capacity = estimate_capacity(TYPICAL_MODEL, kind, replica.layers)
            assert capacity >= 30 * 991


def test_whole_plan_changes_nothing() -> None:
    """A complete plan is not changed, since loads have a cost."""
    assert not plan_moves(_apply(make_fleet()), TYPICAL_MODEL)


@settings(max_examples=60, deadline=None)
@given(st.sets(st.integers(0, 37), max_size=6))
def test_losses_are_repaired_within_memory(lost: set[int]) -> None:
    """Any loss of up to six of 38 replicas is repaired within the memory.

    A replica that is commanded to hold more than fits crashes, which makes the
    loss worse. If the remaining memory suffices, the fleet holds all layers
    again after at most four rounds.
    """
    placed = _apply(make_fleet())
    fleet = [
        replica for number, replica in enumerate(placed) if number not in lost
    ]
    for _ in range(4):
        for move in plan_moves(fleet, TYPICAL_MODEL):
            kind = TYPICAL_MODEL.accelerators[move.replica.accelerator]
            assert len(move.layers) * TYPICAL_MODEL.layer_mb < kind.memory_mb
        fleet = _apply(fleet)
    assert not _find_gaps(_list_held(fleet))


def test_empty_replica_takes_over() -> None:
    """An empty replica takes over the layers of a leaving one.

    No serving replica has to load anything.
    """
    fleet = _apply(make_fleet())
    old = next(replica for replica in fleet if replica.name == 'zone-a-v100-3')
    new = dataclasses.replace(old, name='new', layers=None)
    remaining = [
        dataclasses.replace(replica, leaving=True)
        if replica is old
        else replica
        for replica in fleet
    ]
    moves = plan_moves([*remaining, new], TYPICAL_MODEL)
    assert len(moves) == 1
    assert moves[0].replica.layers is None
    assert old.layers is not None
    assert moves[0].layers.covers(old.layers)


def test_small_zones_are_planned_together() -> None:
    """Two zones with memory for half a copy each hold one together."""
    fleet = [
        Replica(
            f'{zone}-{number}', 'model', f'{zone}-{number}:80', zone, 'a100'
        )
        for zone in ('zone-a', 'zone-b')
        for number in range(2)
    ]
    assert not _find_gaps(_list_held(_apply(fleet)))


def test_neighbour_grows_over_a_narrow_gap() -> None:
    """A neighbour loads just the two missing layers if no replica is empty."""
    fleet = [
        make_replica('one', 0, 20),
        make_replica('two', 22, 50),
        make_replica('three', 50, 80),
    ]
    moves = plan_moves(fleet, TYPICAL_MODEL)
    assert len(moves) == 1
    assert moves[0].layers in {LayerRange(0, 22), LayerRange(20, 50)}


def test_spare_costs_no_small_pool_its_room() -> None:
    """A small zone keeps no spare replica, while larger zones do.

    One of its nine replicas left empty would take two fifths of the headroom,
    and clients would wait under normal load.
    """
    kinds = ('a100', *['v100'] * 6, *['l4'] * 2)
    fleet = [
        Replica(f'r-{number}', 'model', f'r-{number}:80', 'zone-a', kind)
        for number, kind in enumerate(kinds)
    ]
    placed = _apply(fleet)
    assert all(replica.layers for replica in placed)
    large = _apply(make_fleet())
    spares = [replica for replica in large if replica.layers is None]
    assert {replica.zone for replica in spares} == {
        'zone-a',
        'zone-b',
        'zone-c',
    }


def test_large_loss_moves_few_replicas() -> None:
    """The loss of a zone's largest replica is repaired with few commands.

    With all layers assigned anew, 13 of 14 replicas gave up their layers and
    waited for long answers to end, so the zone had no path for 11 s. Instead,
    neighbours take over the layers of one or two replicas, which move into the
    gap together with the spare.
    """
    fleet = _apply(make_fleet())
    remaining = [
        replica for replica in fleet if replica.name != 'zone-a-a100-0'
    ]
    zone = [replica for replica in remaining if replica.zone == 'zone-a']
    lost = _find_gaps(_list_held(zone))
    assert len(lost) >= 20
    moves = {
        move.replica.name: move for move in plan_moves(remaining, TYPICAL_MODEL)
    }
    held = [
        moves[replica.name].layers if replica.name in moves else replica.layers
        for replica in zone
    ]
    assert not _find_gaps([layers for layers in held if layers])
    assert len(moves) <= 8
    loaded = sum(len(move.layers) for move in moves.values())
    kept = sum(
        len(replica.layers)
        for replica in zone
        if replica.name in moves and replica.layers is not None
    )
    assert loaded - kept <= 2 * len(lost)


def test_repair_keeps_room_in_every_replica() -> None:
    """A repair leaves each replica memory for forty requests, as before.

    When a zone's only large replica was lost, eleven layers went to the spare,
    which then had memory for fourteen requests. All requests of the zone pass
    through it, so clients waited a second for the first event.
    """
    fleet = _apply(make_fleet())
    remaining = [
        replica for replica in fleet if replica.name != 'zone-a-a100-0'
    ]
    moves = {
        move.replica.name: move for move in plan_moves(remaining, TYPICAL_MODEL)
    }
    for move in moves.values():
        kind = TYPICAL_MODEL.accelerators[move.replica.accelerator]
        capacity = estimate_capacity(TYPICAL_MODEL, kind, move.layers)
        assert capacity >= 40 * 991


def test_large_zone_holds_several_copies() -> None:
    """A large zone with memory for two and a half copies holds at least two.

    With one copy on the fastest replicas, two thirds of the replicas idled,
    and the requests of three small zones waited for the same steps.
    """
    kinds = ('a100', *['v100'] * 24, *['l4'] * 9, 'a100')
    fleet = [
        Replica(f'r-{number}', 'model', f'r-{number}:80', 'zone-a', kind)
        for number, kind in enumerate(kinds)
    ]
    placed = _apply(fleet)
    copies = [
        sum(layers.first <= layer < layers.end for layers in _list_held(placed))
        for layer in range(80)
    ]
    assert min(copies) >= 2
    assert len(_list_held(placed)) >= 30
