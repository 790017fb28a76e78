"""Tests for the placement of layers and the bound on throughput."""

import itertools

import pytest

from ryelatch_core.pipeline import (
    Assignment,
    Machine,
    bound_throughput,
    improve_placement,
    place_layers,
    split_evenly,
)


def _machine(name: str, speed: float, zone: str = 'z') -> Machine:
    return Machine(name, zone, speed, 8)


def test_bound_is_the_weakest_stage() -> None:
    placement = (
        Assignment(_machine('a', 40), 0, 4),
        Assignment(_machine('b', 80), 4, 8),
        Assignment(_machine('c', 20), 0, 4),
    )
    assert bound_throughput(placement, 8, {}) == pytest.approx(15)
    assert bound_throughput(placement[1:2], 8, {}) == 0


def test_bound_sees_a_slow_link() -> None:
    placement = (
        Assignment(_machine('a', 40, 'z1'), 0, 4),
        Assignment(_machine('b', 40, 'z2'), 4, 8),
    )
    links = {('z1', 'z2'): 3.0}
    assert bound_throughput(placement, 8, links) == pytest.approx(3)


def test_machines_of_mixed_speed_fill_all_stages() -> None:
    machines = [_machine(f'm{index}', 10 * (index + 1)) for index in range(12)]
    plan = place_layers(machines, 12, {})
    best = sum(machine.speed for machine in machines) / 12
    assert plan.throughput >= 0.9 * best


def test_small_models_are_cut_unevenly() -> None:
    """The fast machine has memory for one layer, the slow one for three."""
    machines = [Machine('a', 'z', 100, 1), Machine('b', 'z', 30, 3)]
    plan = place_layers(machines, 4, {})
    assert plan.throughput == pytest.approx(10)


def test_moves_load_few_layers() -> None:
    """One of the two stages lacks machines; a single move corrects that."""
    placement = (
        *(Assignment(_machine(f'a{index}', 40), 0, 4) for index in range(5)),
        Assignment(_machine('b', 40), 4, 8),
    )
    plan = improve_placement(placement, 8, {})
    assert plan.throughput == pytest.approx(30)
    assert plan.moved == 8


def test_even_cuts_tile() -> None:
    for layers in range(1, 30):
        for stages in range(1, layers + 1):
            bounds = split_evenly(layers, stages)
            widths = {end - start for start, end in itertools.pairwise(bounds)}
            assert sum(widths) <= layers
            assert max(widths) - min(widths) <= 1
            assert (bounds[0], bounds[-1]) == (0, layers)
