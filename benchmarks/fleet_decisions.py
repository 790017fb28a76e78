"""Processor time of plans and paths, by the number of replicas."""

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
    """Make zones of thirteen empty replicas each."""
    return [
        Replica(f'{zone}-{place}', 'm', f'{zone}-{place}:1', f'z{zone}', kind)
        for zone in range(zones)
        for place, kind in enumerate(_KINDS)
    ]


def time_call(call: Callable[[], object]) -> float:
    """Measure the least processor time of a call, in milliseconds."""
    times = []
    for _ in range(_ROUNDS):
        begun = time.process_time()
        call()
        times.append(time.process_time() - begun)
    return min(times) * 1000


def measure(zones: int) -> dict[str, float]:
    """Measure one size of fleet."""
    empty = make_zones(zones)
    moves = {
        move.replica.name: move for move in plan_moves(empty, TYPICAL_MODEL)
    }
    fleet = [
        dataclasses.replace(one, layers=moves[one.name].layers)
        if one.name in moves
        else one
        for one in empty
    ]
    lost = fleet[1:]
    query = PathQuery(TYPICAL_MODEL, 'z0', 775, 216, random.random)
    return {
        'replicas': len(fleet),
        'first_plan_ms': time_call(lambda: plan_moves(empty, TYPICAL_MODEL)),
        'whole_plan_ms': time_call(lambda: plan_moves(fleet, TYPICAL_MODEL)),
        'repair_ms': time_call(lambda: plan_moves(lost, TYPICAL_MODEL)),
        'path_ms': time_call(lambda: choose_path(fleet, query)),
    }


def main() -> None:
    """Measure fleets of today and of the size aimed at."""
    rows = [measure(zones) for zones in (3, 8, 30, 300)]
    print_table('Plans and paths by replicas', rows)
    save_result('fleet_decisions', {'rows': rows})


if __name__ == '__main__':
    main()
