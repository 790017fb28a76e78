"""A first replica that ends leaves its zone a beginning of paths.

The load is one request that ends each first replica at which it begins, and
groups of replicas that are lost together.
"""

import dataclasses

import pytest

from core_fleet import TYPICAL_MODEL, ZONES, make_fleet, make_query
from ryelatch_core.fleet import Replica, choose_path, plan_moves

_MOST_HEAD_SHARE = 0.1


def _place(fleet: list[Replica]) -> list[Replica]:
    moves = {move.replica.name: move for move in plan_moves(fleet, TYPICAL_MODEL)}
    return [
        dataclasses.replace(one, layers=moves[one.name].layers)
        if one.name in moves
        else one
        for one in fleet
    ]


def _list_heads(fleet: list[Replica], zone: str) -> list[Replica]:
    return [
        one
        for one in fleet
        if one.zone == zone and one.layers and not one.layers.first
    ]


@pytest.mark.parametrize('zone', ZONES)
def test_lost_first_replica_leaves_its_zone_whole(zone: str) -> None:
    """Any first replica ends: requests of its zone find a path there still."""
    placed = _place(make_fleet())
    for head in _list_heads(placed, zone):
        rest = [one for one in placed if one is not head and one.zone == zone]
        assert choose_path(rest, make_query(zone=zone))


def test_three_first_replicas_end_and_paths_stay() -> None:
    """One first replica of each zone ends; no zone lacks layers."""
    placed = _place(make_fleet())
    lost = {_list_heads(placed, zone)[0].name for zone in ZONES}
    rest = [one for one in placed if one.name not in lost]
    for zone in ZONES:
        inside = [one for one in rest if one.zone == zone]
        assert choose_path(inside, make_query(zone=zone))


def test_first_layers_are_loaded_soon() -> None:
    """A first replica holds few layers, as nothing begins until they load."""
    placed = _place(make_fleet())
    for zone in ZONES:
        for head in _list_heads(placed, zone):
            assert head.layers
            assert len(head.layers) <= TYPICAL_MODEL.layers * _MOST_HEAD_SHARE


@pytest.mark.parametrize('zone', ZONES)
def test_lost_first_replica_is_made_up_for(zone: str) -> None:
    """After the loss of one of two, an empty replica becomes the second."""
    placed = _place(make_fleet())
    lost = _list_heads(placed, zone)[0]
    rest = _place([one for one in placed if one is not lost])
    assert len(_list_heads(rest, zone)) >= 2


@pytest.mark.parametrize('zone', ZONES)
def test_second_first_replica_closes_no_gap(zone: str) -> None:
    """Moved there, it would first wait for the streams that began at it."""
    placed = _place(make_fleet())
    heads = _list_heads(placed, zone)
    lost = next(
        one for one in placed if one.name == f'{zone}-v100-3' and one.layers
    )
    rest = [one for one in placed if one is not lost and one.layers]
    moved = {move.replica.name: move.layers for move in plan_moves(rest, TYPICAL_MODEL)}
    for head in heads:
        assert head.layers
        assert moved.get(head.name, head.layers).covers(head.layers)


def test_pool_without_room_begins_once() -> None:
    """Held twice, the first layers would leave a small pool too little room."""
    fleet = [
        Replica(f'r-{number}', 'model', f'r-{number}:80', 'zone-a', 'a100')
        for number in range(3)
    ]
    assert len(_list_heads(_place(fleet), 'zone-a')) == 1


def test_several_copies_begin_once_each() -> None:
    """Each copy has a first replica, so none is held in reserve."""
    kinds = ('a100', *['v100'] * 24, *['l4'] * 9, 'a100')
    fleet = [
        Replica(f'r-{number}', 'model', f'r-{number}:80', 'zone-a', kind)
        for number, kind in enumerate(kinds)
    ]
    placed = _place(fleet)
    copies = min(
        sum(
            one.layers.first <= layer < one.layers.end
            for one in placed
            if one.layers
        )
        for layer in range(TYPICAL_MODEL.layers)
    )
    assert copies >= 2
    assert len(_list_heads(placed, 'zone-a')) == copies
