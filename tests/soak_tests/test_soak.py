"""Short soaks with fixed seeds, and with seeds that failed before."""

from pathlib import Path

import pytest

from soak.killing import DEFAULT_PROCESSES
from soak.play import run_seed
from soak.seeds import (
    ASKING_SEED,
    CI_SECONDS,
    CI_SEEDS,
    CRASHING_PART_SEED,
    CRASHING_REGRESSIONS,
    CRASHING_SEED,
    CROWDING_SEED,
    CUTTING_SEED,
    ENDING_SEED,
    KILLING_SECONDS,
    KILLING_SEEDS,
    LEAVING_SEED,
    PAUSING_SEED,
    REGRESSIONS,
    RELEASING_SEED,
)


@pytest.mark.parametrize('seed', [*CI_SEEDS, *REGRESSIONS])
async def test_seed_keeps_all_promises(seed: int, tmp_path: Path) -> None:
    """A combination of faults breaks a promise, or prevents recovery.

    Processes are killed, stopped and paused, and links, replicas and the store
    fail, in random combinations.
    """
    outcome = await run_seed(seed, CI_SECONDS, tmp_path)
    assert outcome.faults
    assert not outcome.violations


async def test_crashing_request_is_kept_out(tmp_path: Path) -> None:
    """A request that crashes each replica that runs it is not quarantined.

    Each of three nodes observes some of the crashes, amid other faults. Other
    requests must be served. After the recovery the nodes agree on the crashes,
    and at most three more replicas may run the request.
    """
    outcome = await run_seed(CRASHING_SEED, CI_SECONDS, tmp_path, crashing=True)
    assert outcome.faults
    assert not outcome.violations


async def test_early_ends_of_replicas_are_counted(tmp_path: Path) -> None:
    """A request goes on crashing replicas that send nothing, or accept on."""
    outcome = await run_seed(
        ENDING_SEED, CI_SECONDS, tmp_path, crashing=True, ending=True
    )
    assert outcome.faults
    assert not outcome.violations


async def test_crashing_part_is_kept_out(tmp_path: Path) -> None:
    """Requests that share only a part crash replicas amid other faults."""
    outcome = await run_seed(
        CRASHING_PART_SEED, CI_SECONDS, tmp_path, crashing_part=True
    )
    assert outcome.faults
    assert not outcome.violations


@pytest.mark.parametrize('seed', CRASHING_REGRESSIONS)
async def test_harmless_requests_are_not_refused(
    seed: int, tmp_path: Path
) -> None:
    """A harmless request is quarantined with the one that crashes replicas."""
    outcome = await run_seed(seed, CI_SECONDS, tmp_path, crashing=True)
    assert outcome.faults
    assert not outcome.violations


async def test_rate_limits_of_replicas_are_observed(tmp_path: Path) -> None:
    """After faults, a limited replica gets too much, or no requests at all."""
    outcome = await run_seed(ASKING_SEED, CI_SECONDS, tmp_path, asking=True)
    assert outcome.faults
    assert not outcome.violations


async def test_nodes_without_links_keep_all_promises(tmp_path: Path) -> None:
    """A promise is broken as nodes lose their links amid other faults.

    Requests pass two nodes then, each of which may be lost on the way.
    """
    outcome = await run_seed(CUTTING_SEED, CI_SECONDS, tmp_path, cutting=True)
    assert 'cut_nodes' in outcome.faults
    assert not outcome.violations


async def test_streams_of_paused_replicas_are_finished(tmp_path: Path) -> None:
    """Streams are cut off as sound replicas stand still and go on.

    One, some or all replicas of a service do, while the configuration changes,
    nodes stop or are told of changed settings, and replicas are replaced.
    """
    outcome = await run_seed(PAUSING_SEED, CI_SECONDS, tmp_path, pausing=True)
    assert outcome.faults
    assert not outcome.violations


async def test_planned_work_loses_no_request(tmp_path: Path) -> None:
    """Requests are lost beside planned work and replicas that stand still.

    Releases overlap while the configuration changes, and nodes are stopped and
    told of changed settings in rounds, in a fleet of eight nodes.
    """
    outcome = await run_seed(
        RELEASING_SEED, CI_SECONDS, tmp_path, releasing=True
    )
    assert 'release_half' in outcome.faults
    assert not outcome.violations


async def test_nothing_is_sent_for_clients_that_left(tmp_path: Path) -> None:
    """Requests reach replicas long after their clients have left.

    Nodes stand still, are cut off from all replicas, end and start again.
    """
    outcome = await run_seed(LEAVING_SEED, CI_SECONDS, tmp_path, leaving=True)
    assert 'pause_node' in outcome.faults
    assert not outcome.violations


async def test_crowds_break_no_promise(tmp_path: Path) -> None:
    """Clients that don't behave end nodes, or cost others their answers.

    They keep all phases of a connection busy, amid other faults.
    """
    outcome = await run_seed(CROWDING_SEED, CI_SECONDS, tmp_path, crowding=True)
    assert outcome.faults
    assert not outcome.violations


@pytest.mark.parametrize('seed', KILLING_SEEDS)
async def test_killed_processes_break_no_promise(
    seed: int, tmp_path: Path
) -> None:
    """Clients take parts of killed replicas' answers for whole ones.

    Replicas are processes of their own, and the nodes' budgets are small.
    """
    outcome = await run_seed(
        seed, KILLING_SECONDS, tmp_path, processes=DEFAULT_PROCESSES
    )
    assert 'kill_in_answer' in outcome.faults
    assert not outcome.violations
