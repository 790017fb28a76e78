"""Placement against the best by exhaustive search, and against baselines."""

import itertools
import random
import time
from typing import Any

import common

from ryelatch_core.pipeline import (
    Assignment,
    Machine,
    Placement,
    bound_throughput,
    improve_placement,
    place_layers,
    split_evenly,
)

_KINDS = ((40.0, 12), (100.0, 6), (220.0, 8), (400.0, 4))
_SMALL_KINDS = ((40.0, 4), (100.0, 2), (220.0, 3), (400.0, 1))
_CASES = 25
_GOOD = 0.95


def make_machines(
    count: int,
    zones: int,
    chance: random.Random,
    kinds: tuple[tuple[float, int], ...] = _KINDS,
) -> list[Machine]:
    """Make machines of four kinds over some zones."""
    return [
        Machine(f'm{index}', f'z{index % zones}', speed, capacity)
        for index in range(count)
        for speed, capacity in (chance.choice(kinds),)
    ]


def make_links(zones: int, chance: random.Random) -> dict[Any, float]:
    """Make links between zones that differ a hundredfold."""
    pairs = itertools.permutations([f'z{index}' for index in range(zones)], 2)
    return {pair: 10 ** chance.uniform(0.5, 2.5) for pair in pairs}


def search_all(
    machines: list[Machine], layers: int, links: dict[Any, float]
) -> float:
    """Try every placement."""
    ranges = list(itertools.combinations(range(layers + 1), 2))
    options = [
        [
            Assignment(machine, first, last)
            for first, last in ranges
            if last - first <= machine.capacity
        ]
        for machine in machines
    ]
    rates = (
        bound_throughput(placement, layers, links)
        for placement in itertools.product(*options)
        if _covers(placement, layers)
    )
    return max(rates, default=0)


def _covers(placement: Placement, layers: int) -> bool:
    held = {layer for one in placement for layer in range(one.first, one.last)}
    return len(held) == layers


def split_equally(machines: list[Machine], layers: int) -> Placement:
    """Baseline: as few even stages as fit all, dealt round robin."""
    smallest = min(machine.capacity for machine in machines)
    stages = -(-layers // smallest)
    bounds = split_evenly(layers, stages)
    return tuple(
        Assignment(machine, bounds[index % stages], bounds[index % stages + 1])
        for index, machine in enumerate(machines)
    )


def take_fastest(machines: list[Machine], layers: int) -> Placement:
    """Baseline: chains filled with as many layers as fit, fastest first."""
    placed = []
    at = 0
    for machine in sorted(machines, key=lambda one: -one.speed):
        end = min(layers, at + machine.capacity)
        placed.append(Assignment(machine, at, end))
        at = end % layers
    return tuple(placed)


def place_randomly(
    machines: list[Machine], layers: int, chance: random.Random
) -> Placement:
    """Baseline: even stages, each machine in any of them."""
    stages = -(-layers // min(machine.capacity for machine in machines))
    bounds = split_evenly(layers, stages)
    drawn = [(machine, chance.randrange(stages)) for machine in machines]
    return tuple(
        Assignment(machine, bounds[stage], bounds[stage + 1])
        for machine, stage in drawn
    )


def compare_small() -> list[dict[str, Any]]:
    """Compare with exhaustive search on small cases."""
    chance = random.Random(7)
    found: dict[str, list[float]] = {}
    while len(found.get('place_layers', ())) < _CASES:
        count = chance.choice((3, 3, 3, 4))
        machines = make_machines(count, 2, chance, _SMALL_KINDS)
        links = make_links(2, chance)
        best = search_all(machines, 4, links)
        if not best:
            continue  # the model does not fit on these machines
        for name, throughput in _try_all(machines, 4, links, chance).items():
            found.setdefault(name, []).append(throughput / best)
    return [
        {
            'method': name,
            'mean_share': sum(shares) / len(shares),
            'worst_share': min(shares),
            'at_least_95': sum(share > _GOOD for share in shares),
            'cases': len(shares),
        }
        for name, shares in found.items()
    ]


def _try_all(
    machines: list[Machine],
    layers: int,
    links: dict[Any, float],
    chance: random.Random,
) -> dict[str, float]:
    placements = {
        'equal split': split_equally(machines, layers),
        'fastest first': take_fastest(machines, layers),
        'random': place_randomly(machines, layers, chance),
    }
    found = {
        name: bound_throughput(placement, layers, links)
        for name, placement in placements.items()
    }
    return {
        'place_layers': place_layers(machines, layers, links).throughput
    } | found


def compare_large() -> list[dict[str, Any]]:
    """Compare on the two deployments' shapes, and time large plans."""
    rows = []
    for name, count, zones, layers in (
        ('saigon', 40, 3, 12),
        ('khanyisa', 40, 3, 16),
        ('target', 4000, 13, 48),
    ):
        chance = random.Random(11)
        machines = make_machines(count, zones, chance)
        links = make_links(zones, chance)
        started = time.perf_counter()
        tried = _try_all(machines, layers, links, chance)
        total = sum(machine.speed for machine in machines) / layers
        begun = time.perf_counter()
        place_layers(machines, layers, links)
        rows.append(
            {
                'shape': name,
                'machines': count,
                **{method: rate / total for method, rate in tried.items()},
                'plan_s': time.perf_counter() - begun,
                'all_s': time.perf_counter() - started,
            }
        )
    return rows


def measure_replan() -> dict[str, float]:
    """Lose a machine and count the layers that a new plan loads."""
    chance = random.Random(13)
    machines = make_machines(40, 3, chance)
    links = make_links(3, chance)
    plan = place_layers(machines, 12, links)
    rest = plan.placement[1:]
    after = bound_throughput(rest, 12, links)
    better = improve_placement(rest, 12, links)
    fresh = place_layers([one.machine for one in rest], 12, links)
    held = {one.machine.name: (one.first, one.last) for one in rest}
    anew = sum(
        one.last - one.first
        for one in fresh.placement
        if held[one.machine.name] != (one.first, one.last)
    )
    return {
        'before': plan.throughput,
        'after_loss': after,
        'after_moves': better.throughput,
        'layers_moved': better.moved,
        'after_new_plan': fresh.throughput,
        'layers_of_new_plan': anew,
    }


def main() -> None:
    """Compare and time."""
    small = compare_small()
    common.print_table('Share of the best by exhaustive search', small)
    large = compare_large()
    common.print_table('Share of all speed (links are slower)', large)
    replan = measure_replan()
    common.print_table('After the loss of a machine', [replan])
    common.save_result(
        'placement', {'small': small, 'large': large, 'replan': replan}
    )


if __name__ == '__main__':
    main()
