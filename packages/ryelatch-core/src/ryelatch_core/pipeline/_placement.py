"""Which engine should hold which layers, for the most throughput."""

import itertools
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from ryelatch_core.pipeline._flow import (
    Machine,
    Pair,
    Assignment,
    Placement,
    bound_throughput,
)

MAX_STAGES = 16
_POLISHED = 48
_SMALL = 8
_TINY = 4
_STARTS = 3
_ROUNDS = 24
_WORTHWHILE = 1.02


@dataclass(frozen=True)
class Plan:
    """A placement and the throughput that it allows.

    :param moved: layers that have to be loaded for it.
    """

    placement: Placement
    throughput: float
    moved: int = 0


def place_layers(
    machines: Sequence[Machine],
    layers: int,
    links: Mapping[Pair, float],
) -> Plan:
    """Place a model on machines that hold nothing yet.

    The layers are cut into stages in several ways, and for each cut the
    machines are dealt out, the fastest first or the smallest first, to the
    stages where they lift the weakest most. The best of these by maximum
    flow are polished by single moves while they are small.
    """
    cuts = _list_cuts(machines, layers)
    plans = [
        _deal(order, layers, bounds, links)
        for bounds in cuts
        for order in _list_orders(machines)
    ]
    plans.sort(key=lambda plan: -plan.throughput)
    if len(machines) > _POLISHED:
        return plans[0]
    starts = plans[: _STARTS if len(machines) <= _SMALL else 1]
    polished = [
        improve_placement(plan.placement, layers, links, 1) for plan in starts
    ]
    return max(polished, key=lambda plan: plan.throughput)


def _list_orders(machines: Sequence[Machine]) -> list[list[Machine]]:
    """List orders to deal in; in a large fleet the one that counts most."""
    fastest = sorted(machines, key=lambda one: -one.speed)
    smallest = sorted(fastest, key=lambda one: one.capacity)
    return [fastest] if len(machines) > _POLISHED else [fastest, smallest]


def _list_cuts(machines: Sequence[Machine], layers: int) -> list[list[int]]:
    """List ways to cut: all of them in small, else even ones."""
    stages = range(1, min(layers, MAX_STAGES) + 1)
    if len(machines) > _SMALL or layers > _SMALL:
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
    worthwhile: float = _WORTHWHILE,
) -> Plan:
    """Improve a placement by moving one machine at a time.

    Loading weights goes through the rate-limited store, so a move has to
    gain enough, and of equal gains the one that loads fewest layers wins.

    :param worthwhile: throughput after a move over that before.
    """
    current = placement
    throughput = bound_throughput(current, layers, links)
    moved = 0
    for _ in range(_ROUNDS):
        options = [
            (bound_throughput(option, layers, links), -loaded, option)
            for option, loaded in _list_moves(current, layers)
        ]
        if not options:
            break
        gained, loaded, option = max(options, key=lambda entry: entry[:2])
        if gained <= throughput * worthwhile:
            break
        current = option
        throughput = gained
        moved -= loaded
    return Plan(current, throughput, moved)


def split_evenly(layers: int, stages: int) -> list[int]:
    """Cut layers into stages that differ by one layer at most.

    :returns: the boundaries, from 0 to the number of layers.
    """
    return [layers * stage // stages for stage in range(stages + 1)]


def _deal(
    machines: Sequence[Machine],
    layers: int,
    bounds: list[int],
    links: Mapping[Pair, float],
) -> Plan:
    """Deal machines out over stages, in the order given."""
    stages = len(bounds) - 1
    filled: list[float] = [0 for _ in range(stages)]
    dealt: list[Assignment] = []
    in_zone: Counter[tuple[str, int]] = Counter()
    for machine in machines:
        span = _choose_span(machine, bounds, filled, in_zone)
        if span is None:
            continue
        one = Assignment(machine, bounds[span[0]], bounds[span[1]])
        dealt.append(one)
        for stage in range(*span):
            filled[stage] += one.rate
            in_zone[machine.zone, stage] += 1
    placement = tuple(dealt)
    return Plan(placement, bound_throughput(placement, layers, links))


def _choose_span(
    machine: Machine,
    bounds: list[int],
    filled: list[float],
    in_zone: Counter[tuple[str, int]],
) -> tuple[int, int] | None:
    """Choose the stages that a machine helps most.

    Of stages equally weak it is the one that the zone lacks most: answers
    then find a whole chain without crossing zones.
    """
    return min(
        _list_spans(machine, bounds),
        key=lambda span: (
            -_lift(machine, span, filled, bounds),
            in_zone[machine.zone, span[0]],
        ),
        default=None,
    )


def _list_spans(machine: Machine, bounds: list[int]) -> list[tuple[int, int]]:
    """List the runs of stages that fit into a machine.

    Among many stages only single ones and the whole are worth the time.
    """
    stages = len(bounds) - 1
    spans = list(itertools.combinations(range(stages + 1), 2))
    if stages > _SMALL:
        spans = [(stage, stage + 1) for stage in range(stages)]
        spans.append((0, stages))
    return [
        (start, end)
        for start, end in spans
        if bounds[end] - bounds[start] <= machine.capacity
    ]


def _lift(
    machine: Machine,
    span: tuple[int, int],
    filled: list[float],
    bounds: list[int],
) -> float:
    """How much a machine helps the stages that need it most.

    A stage counts by the inverse of what it has; one that has nothing comes
    before all others.
    """
    width = bounds[span[1]] - bounds[span[0]]
    rate = machine.speed / width
    return sum(rate / (filled[stage] + rate / 1000) for stage in range(*span))


def _list_moves(
    placement: Placement,
    layers: int,
) -> Iterator[tuple[Placement, int]]:
    """List placements that differ in one machine, or two in small.

    Where a single engine is the whole of a stage, no single move gains.
    """
    ranges = _list_ranges(placement, layers)
    if len(placement) <= _TINY:
        yield from _move_pairs(placement, ranges)
    else:
        for index, _ in enumerate(placement):
            yield from _move_one(placement, index, ranges)


def _move_pairs(
    placement: Placement,
    ranges: list[tuple[int, int]],
) -> Iterator[tuple[Placement, int]]:
    for one, two in itertools.combinations(range(len(placement)), 2):
        for option, loaded in _move_one(placement, one, ranges):
            for second, more in _move_one(option, two, ranges):
                yield second, loaded + more


def _move_one(
    placement: Placement,
    index: int,
    ranges: list[tuple[int, int]],
) -> Iterator[tuple[Placement, int]]:
    one = placement[index]
    held = range(one.first, one.last)
    for first, last in ranges:
        if last - first <= one.machine.capacity:
            loaded = sum(layer not in held for layer in range(first, last))
            moved = Assignment(one.machine, first, last)
            yield (
                (*placement[:index], moved, *placement[index + 1 :]),
                loaded,
            )


def _list_ranges(placement: Placement, layers: int) -> list[tuple[int, int]]:
    """List the ranges worth a try: all in small, else those in use."""
    if len(placement) <= _SMALL:
        return list(itertools.combinations(range(layers + 1), 2))
    return sorted({(one.first, one.last) for one in placement})
