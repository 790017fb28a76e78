"""Measures processor time of placement and path choice by fleet size."""

import dataclasses
import random
import time
from collections.abc import Callable

from common import print_table, save_result

from core_fleet import TYPICAL_MODEL
from ryelatch_core.fleet import (
    PathQuery,
    Replica,
    choose_path,
    plan_moves,
)

_KINDS = ('a100', *['v100'] * 6, *['l4'] * 6)
_ROUNDS = 10


def make_zones(zones: int) -> list[Replica]:
    """Make replicas without layers, thirteen in each zone."""
    return [
        Replica(f'{zone}-{number}', 'm', f'{zone}-{number}:1', f'z{zone}', kind)
        for zone in range(zones)
        for number, kind in enumerate(_KINDS)
    ]


def time_call(call: Callable[[], object]) -> float:
    """Measure the smallest processor time of several calls.

    :returns: milliseconds of one call.
    """
    times = []
    for _ in range(_ROUNDS):
        started = time.process_time()
        call()
        times.append(time.process_time() - started)
    return min(times) * 1000


def measure(zones: int) -> dict[str, float]:
    """Measure a fleet of the given number of zones.

    A repair is planned after the loss of one replica.
    """
    empty = make_zones(zones)
    moves = {
        move.replica.name: move for move in plan_moves(empty, TYPICAL_MODEL)
    }
    fleet = [
        dataclasses.replace(replica, layers=moves[replica.name].layers)
        if replica.name in moves
        else replica
        for replica in empty
    ]
    remaining = fleet[1:]
    query = PathQuery(TYPICAL_MODEL, 'z0', 775, 216, random.random)
    return {
        'replicas': len(fleet),
        'first_plan_ms': time_call(lambda: plan_moves(empty, TYPICAL_MODEL)),
        'whole_plan_ms': time_call(lambda: plan_moves(fleet, TYPICAL_MODEL)),
        'repair_ms': time_call(lambda: plan_moves(remaining, TYPICAL_MODEL)),
        'path_ms': time_call(lambda: choose_path(fleet, query)),
    }


def main() -> None:
    """Measure fleets of several sizes, up to 3900 replicas."""
    rows = [measure(zones) for zones in (3, 8, 30, 300)]
    print_table('Plans and paths by replicas', rows)
    save_result('fleet_decisions', {'rows': rows})


if __name__ == '__main__':
    main()
