"""A zone keeps its paths after the loss of a first replica.

First replicas crash when a single request crashes each one at which it begins,
or when several replicas are lost together.
"""

import dataclasses

import pytest

from core_fleet import TYPICAL_MODEL, ZONES, make_fleet, make_query
from ryelatch_core.fleet import Replica, choose_path, plan_moves

_MAX_FIRST_LAYERS_RATIO = 0.1


def _place(fleet: list[Replica]) -> list[Replica]:
    moves = {
        move.replica.name: move for move in plan_moves(fleet, TYPICAL_MODEL)
    }
    return [
        dataclasses.replace(replica, layers=moves[replica.name].layers)
        if replica.name in moves
        else replica
        for replica in fleet
    ]


def _list_first_replicas(fleet: list[Replica], zone: str) -> list[Replica]:
    return [
        replica
        for replica in fleet
        if replica.zone == zone and replica.layers and not replica.layers.first
    ]


@pytest.mark.parametrize('zone', ZONES)
def test_lost_first_replica_leaves_its_zone_whole(zone: str) -> None:
    """Paths within the zone remain, whichever first replica is lost."""
    placed = _place(make_fleet())
    for first_replica in _list_first_replicas(placed, zone):
        remaining = [
            replica
            for replica in placed
            if replica is not first_replica and replica.zone == zone
        ]
        assert choose_path(remaining, make_query(zone=zone))


def test_three_first_replicas_end_and_paths_stay() -> None:
    """Paths remain after the loss of one first replica in each zone."""
    placed = _place(make_fleet())
    lost = {_list_first_replicas(placed, zone)[0].name for zone in ZONES}
    remaining = [replica for replica in placed if replica.name not in lost]
    for zone in ZONES:
        inside = [replica for replica in remaining if replica.zone == zone]
        assert choose_path(inside, make_query(zone=zone))


def test_first_layers_are_loaded_soon() -> None:
    """First replicas hold few layers, since no path begins until these load."""
    placed = _place(make_fleet())
    for zone in ZONES:
        for first_replica in _list_first_replicas(placed, zone):
            assert first_replica.layers
            assert (
                len(first_replica.layers)
                <= TYPICAL_MODEL.layers * _MAX_FIRST_LAYERS_RATIO
            )


@pytest.mark.parametrize('zone', ZONES)
def test_lost_first_replica_is_made_up_for(zone: str) -> None:
    """An empty replica takes the place of one of two first replicas."""
    placed = _place(make_fleet())
    lost = _list_first_replicas(placed, zone)[0]
    remaining = _place([replica for replica in placed if replica is not lost])
    assert len(_list_first_replicas(remaining, zone)) >= 2


@pytest.mark.parametrize('zone', ZONES)
def test_second_first_replica_closes_no_gap(zone: str) -> None:
    """First replicas don't move to close a gap.

    They would first have to wait for the streams that began there.
    """
    placed = _place(make_fleet())
    first_replicas = _list_first_replicas(placed, zone)
    lost = next(
        replica
        for replica in placed
        if replica.name == f'{zone}-v100-3' and replica.layers
    )
    remaining = [
        replica for replica in placed if replica is not lost and replica.layers
    ]
    moved = {
        move.replica.name: move.layers
        for move in plan_moves(remaining, TYPICAL_MODEL)
    }
    for first_replica in first_replicas:
        assert first_replica.layers
        assert moved.get(first_replica.name, first_replica.layers).covers(
            first_replica.layers
        )


def test_pool_without_room_begins_once() -> None:
    """A small pool has one first replica; two would leave little headroom."""
    fleet = [
        Replica(f'r-{number}', 'model', f'r-{number}:80', 'zone-a', 'a100')
        for number in range(3)
    ]
    assert len(_list_first_replicas(_place(fleet), 'zone-a')) == 1


def test_several_copies_begin_once_each() -> None:
    """Several copies have one first replica each, without a standby."""
    kinds = ('a100', *['v100'] * 24, *['l4'] * 9, 'a100')
    fleet = [
        Replica(f'r-{number}', 'model', f'r-{number}:80', 'zone-a', kind)
        for number, kind in enumerate(kinds)
    ]
    placed = _place(fleet)
    copies = min(
        sum(
            replica.layers.first <= layer < replica.layers.end
            for replica in placed
            if replica.layers
        )
        for layer in range(TYPICAL_MODEL.layers)
    )
    assert copies >= 2
    assert len(_list_first_replicas(placed, 'zone-a')) == copies
