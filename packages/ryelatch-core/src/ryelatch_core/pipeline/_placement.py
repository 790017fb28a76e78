"""Assignment of layers to engines for the highest throughput."""

import itertools
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from ryelatch_core.pipeline._flow import (
    Assignment,
    Machine,
    Pair,
    Placement,
    bound_throughput,
)

MAX_STAGES = 16
_MAX_REFINED_MACHINES = 48
_MAX_EXHAUSTIVE_SIZE = 8
_MAX_PAIRED_MACHINES = 4
_REFINED_PLANS = 3
_MAX_MOVES = 24
_MIN_GAIN_RATIO = 1.02


@dataclass(frozen=True)
class Plan:
    """A placement and the throughput that it allows.

    :param moved: number of layers that have to be loaded for it.
    """

    placement: Placement
    throughput: float
    moved: int = 0


def place_layers(
    machines: Sequence[Machine],
    layers: int,
    links: Mapping[Pair, float],
) -> Plan:
    """Place a model on machines that hold no layers yet.

    Splits the layers into stages in several ways. For each split the machines
    are assigned greedily, the fastest or the smallest first, to the stages
    whose throughput they raise most. For small fleets the best of these plans
    by maximum flow are then refined by moves of single machines.
    """
    splits = _list_splits(machines, layers)
    plans = [
        _assign_greedily(order, layers, bounds, links)
        for bounds in splits
        for order in _list_orders(machines)
    ]
    plans.sort(key=lambda plan: -plan.throughput)
    if len(machines) > _MAX_REFINED_MACHINES:
        return plans[0]
    starts = plans[
        : _REFINED_PLANS if len(machines) <= _MAX_EXHAUSTIVE_SIZE else 1
    ]
    refined = [
        improve_placement(plan.placement, layers, links, 1) for plan in starts
    ]
    return max(refined, key=lambda plan: plan.throughput)


def _list_orders(machines: Sequence[Machine]) -> list[list[Machine]]:
    """List the orders in which machines are assigned.

    A large fleet tries only the fastest first, which matters most.
    """
    fastest = sorted(machines, key=lambda machine: -machine.speed)
    smallest = sorted(fastest, key=lambda machine: machine.capacity)
    return (
        [fastest]
        if len(machines) > _MAX_REFINED_MACHINES
        else [fastest, smallest]
    )


def _list_splits(machines: Sequence[Machine], layers: int) -> list[list[int]]:
    """List the boundaries of all possible splits into stages.

    With many machines or layers only even splits are listed.
    """
    stages = range(1, min(layers, MAX_STAGES) + 1)
    if len(machines) > _MAX_EXHAUSTIVE_SIZE or layers > _MAX_EXHAUSTIVE_SIZE:
        return [split_evenly(layers, count) for count in stages]
    return [
        [0, *inner, layers]
        for count in stages
        for inner in itertools.combinations(range(1, layers), count - 1)
    ]


def improve_placement(
    placement: Placement,
    layers: int,
    links: Mapping[Pair, float],
    min_gain_ratio: float = _MIN_GAIN_RATIO,
) -> Plan:
    """Improve a placement by moving one machine at a time.

    Weights are loaded through the rate-limited store, so a move must gain
    enough, and among equal gains the one that loads fewest layers is taken.

    :param min_gain_ratio: a move must raise the throughput by more than this
        factor.
    """
    current = placement
    throughput = bound_throughput(current, layers, links)
    moved = 0
    for _ in range(_MAX_MOVES):
        options = [
            (bound_throughput(option, layers, links), -loaded, option)
            for option, loaded in _list_moves(current, layers)
        ]
        if not options:
            break
        improved, loaded, option = max(options, key=lambda entry: entry[:2])
        if improved <= throughput * min_gain_ratio:
            break
        current = option
        throughput = improved
        moved -= loaded
    return Plan(current, throughput, moved)


def split_evenly(layers: int, stages: int) -> list[int]:
    """Split layers into stages whose sizes differ by at most one layer.

    :returns: the boundaries, from 0 to the number of layers.
    """
    return [layers * stage // stages for stage in range(stages + 1)]


def _assign_greedily(
    machines: Sequence[Machine],
    layers: int,
    bounds: list[int],
    links: Mapping[Pair, float],
) -> Plan:
    """Assign machines to stages greedily, in the given order."""
    stages = len(bounds) - 1
    rates: list[float] = [0 for _ in range(stages)]
    assignments: list[Assignment] = []
    in_zone: Counter[tuple[str, int]] = Counter()
    for machine in machines:
        span = _choose_span(machine, bounds, rates, in_zone)
        if span is None:
            continue
        assignment = Assignment(machine, bounds[span[0]], bounds[span[1]])
        assignments.append(assignment)
        for stage in range(*span):
            rates[stage] += assignment.rate
            in_zone[machine.zone, stage] += 1
    placement = tuple(assignments)
    return Plan(placement, bound_throughput(placement, layers, links))


def _choose_span(
    machine: Machine,
    bounds: list[int],
    rates: list[float],
    in_zone: Counter[tuple[str, int]],
) -> tuple[int, int] | None:
    """Choose the run of stages where a machine has the highest benefit.

    Among equal runs it is the one with the fewest machines of the same zone,
    so that answers find a complete chain without crossing zones.
    """
    return min(
        _list_spans(machine, bounds),
        key=lambda span: (
            -_compute_benefit(machine, span, rates, bounds),
            in_zone[machine.zone, span[0]],
        ),
        default=None,
    )


def _list_spans(machine: Machine, bounds: list[int]) -> list[tuple[int, int]]:
    """List the runs of consecutive stages that fit into a machine.

    With many stages only single stages and the complete model are listed, to
    bound the running time.
    """
    stages = len(bounds) - 1
    spans = list(itertools.combinations(range(stages + 1), 2))
    if stages > _MAX_EXHAUSTIVE_SIZE:
        spans = [(stage, stage + 1) for stage in range(stages)]
        spans.append((0, stages))
    return [
        (start, end)
        for start, end in spans
        if bounds[end] - bounds[start] <= machine.capacity
    ]


def _compute_benefit(
    machine: Machine,
    span: tuple[int, int],
    rates: list[float],
    bounds: list[int],
) -> float:
    """Compute the benefit of a machine for a run of stages.

    A stage is weighted by the inverse of its present rate, so a stage without
    machines comes before all others.
    """
    width = bounds[span[1]] - bounds[span[0]]
    rate = machine.speed / width
    return sum(rate / (rates[stage] + rate / 1000) for stage in range(*span))


def _list_moves(
    placement: Placement,
    layers: int,
) -> Iterator[tuple[Placement, int]]:
    """List placements that differ in one machine, or in two of a small fleet.

    Where a stage consists of a single engine, no single move is a gain.

    :returns: each placement and the number of layers to load for it.
    """
    ranges = _list_ranges(placement, layers)
    if len(placement) <= _MAX_PAIRED_MACHINES:
        yield from _move_pairs(placement, ranges)
    else:
        for index, _ in enumerate(placement):
            yield from _move_machine(placement, index, ranges)


def _move_pairs(
    placement: Placement,
    ranges: list[tuple[int, int]],
) -> Iterator[tuple[Placement, int]]:
    for first, second in itertools.combinations(range(len(placement)), 2):
        for option, loaded in _move_machine(placement, first, ranges):
            for moved, also_loaded in _move_machine(option, second, ranges):
                yield moved, loaded + also_loaded


def _move_machine(
    placement: Placement,
    index: int,
    ranges: list[tuple[int, int]],
) -> Iterator[tuple[Placement, int]]:
    assignment = placement[index]
    held = range(assignment.first, assignment.last)
    for first, last in ranges:
        if last - first <= assignment.machine.capacity:
            loaded = sum(layer not in held for layer in range(first, last))
            moved = Assignment(assignment.machine, first, last)
            yield (
                (*placement[:index], moved, *placement[index + 1 :]),
                loaded,
            )


def _list_ranges(placement: Placement, layers: int) -> list[tuple[int, int]]:
    """List the ranges to try: all in a small fleet, else those in use."""
    if len(placement) <= _MAX_EXHAUSTIVE_SIZE:
        return list(itertools.combinations(range(layers + 1), 2))
    return sorted(
        {(assignment.first, assignment.last) for assignment in placement}
    )
