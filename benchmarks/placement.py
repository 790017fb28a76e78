"""Compares layer placement with exhaustive search and with baselines."""

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
_GOOD_RATIO = 0.95


def make_machines(
    count: int,
    zones: int,
    random_source: random.Random,
    kinds: tuple[tuple[float, int], ...] = _KINDS,
) -> list[Machine]:
    """Make machines of random kinds, spread evenly over zones.

    :param kinds: speed, and capacity in layers, of each kind.
    """
    return [
        Machine(f'm{index}', f'z{index % zones}', speed, capacity)
        for index in range(count)
        for speed, capacity in (random_source.choice(kinds),)
    ]


def make_links(zones: int, random_source: random.Random) -> dict[Any, float]:
    """Make links between zones, with rates that differ up to a hundredfold."""
    pairs = itertools.permutations([f'z{index}' for index in range(zones)], 2)
    return {pair: 10 ** random_source.uniform(0.5, 2.5) for pair in pairs}


def search_all(
    machines: list[Machine], layers: int, links: dict[Any, float]
) -> float:
    """Find the best throughput of all possible placements.

    :returns: throughput; 0 if no placement covers all layers.
    """
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
    covered = {
        layer
        for assignment in placement
        for layer in range(assignment.first, assignment.last)
    }
    return len(covered) == layers


def split_equally(machines: list[Machine], layers: int) -> Placement:
    """Baseline: as few even stages as every machine can hold, round robin."""
    smallest = min(machine.capacity for machine in machines)
    stages = -(-layers // smallest)
    bounds = split_evenly(layers, stages)
    return tuple(
        Assignment(machine, bounds[index % stages], bounds[index % stages + 1])
        for index, machine in enumerate(machines)
    )


def take_fastest(machines: list[Machine], layers: int) -> Placement:
    """Baseline: chains of machines filled to capacity, fastest first."""
    placement = []
    first = 0
    for machine in sorted(machines, key=lambda each: -each.speed):
        end = min(layers, first + machine.capacity)
        placement.append(Assignment(machine, first, end))
        first = end % layers
    return tuple(placement)


def place_randomly(
    machines: list[Machine], layers: int, random_source: random.Random
) -> Placement:
    """Baseline: even stages, each machine in a random one."""
    stages = -(-layers // min(machine.capacity for machine in machines))
    bounds = split_evenly(layers, stages)
    chosen = [
        (machine, random_source.randrange(stages)) for machine in machines
    ]
    return tuple(
        Assignment(machine, bounds[stage], bounds[stage + 1])
        for machine, stage in chosen
    )


def compare_small() -> list[dict[str, Any]]:
    """Compare all methods with exhaustive search on small cases."""
    random_source = random.Random(7)
    ratios: dict[str, list[float]] = {}
    while len(ratios.get('place_layers', ())) < _CASES:
        count = random_source.choice((3, 3, 3, 4))
        machines = make_machines(count, 2, random_source, _SMALL_KINDS)
        links = make_links(2, random_source)
        best = search_all(machines, 4, links)
        if not best:
            continue  # The model does not fit on these machines.
        for name, throughput in _run_methods(
            machines, 4, links, random_source
        ).items():
            ratios.setdefault(name, []).append(throughput / best)
    return [
        {
            'method': name,
            'mean_share': sum(method_ratios) / len(method_ratios),
            'worst_share': min(method_ratios),
            'at_least_95': sum(ratio > _GOOD_RATIO for ratio in method_ratios),
            'cases': len(method_ratios),
        }
        for name, method_ratios in ratios.items()
    ]


def _run_methods(
    machines: list[Machine],
    layers: int,
    links: dict[Any, float],
    random_source: random.Random,
) -> dict[str, float]:
    """Compute the throughput of the placement by each method."""
    placements = {
        'equal split': split_equally(machines, layers),
        'fastest first': take_fastest(machines, layers),
        'random': place_randomly(machines, layers, random_source),
    }
    baselines = {
        name: bound_throughput(placement, layers, links)
        for name, placement in placements.items()
    }
    return {
        'place_layers': place_layers(machines, layers, links).throughput
    } | baselines


def compare_large() -> list[dict[str, Any]]:
    """Compare the methods on large fleets, and time their planning.

    Two fleets have the sizes of the example deployments.
    """
    rows = []
    for name, count, zones, layers in (
        ('saigon', 40, 3, 12),
        ('khanyisa', 40, 3, 16),
        ('target', 4000, 13, 48),
    ):
        random_source = random.Random(11)
        machines = make_machines(count, zones, random_source)
        links = make_links(zones, random_source)
        started = time.perf_counter()
        rates = _run_methods(machines, layers, links, random_source)
        total = sum(machine.speed for machine in machines) / layers
        plan_started = time.perf_counter()
        place_layers(machines, layers, links)
        rows.append(
            {
                'shape': name,
                'machines': count,
                **{method: rate / total for method, rate in rates.items()},
                'plan_s': time.perf_counter() - plan_started,
                'all_s': time.perf_counter() - started,
            }
        )
    return rows


def measure_replan() -> dict[str, float]:
    """Compare a few moves with a new plan after the loss of a machine.

    :returns: throughput before, after the loss, and by each way; and the
        number of layers that each way loads.
    """
    random_source = random.Random(13)
    machines = make_machines(40, 3, random_source)
    links = make_links(3, random_source)
    plan = place_layers(machines, 12, links)
    remaining = plan.placement[1:]
    after_loss = bound_throughput(remaining, 12, links)
    improved = improve_placement(remaining, 12, links)
    new_plan = place_layers([item.machine for item in remaining], 12, links)
    held = {item.machine.name: (item.first, item.last) for item in remaining}
    loaded = sum(
        item.last - item.first
        for item in new_plan.placement
        if held[item.machine.name] != (item.first, item.last)
    )
    return {
        'before': plan.throughput,
        'after_loss': after_loss,
        'after_moves': improved.throughput,
        'layers_moved': improved.moved,
        'after_new_plan': new_plan.throughput,
        'layers_of_new_plan': loaded,
    }


def main() -> None:
    """Compare the methods, and print and save the results."""
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
