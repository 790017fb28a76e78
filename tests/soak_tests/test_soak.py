"""A short soak with fixed seeds, and seeds that failed once."""

from pathlib import Path

import pytest

from soak.play import play_seed
from soak.seeds import (
    ASKING_SEED,
    CI_SECONDS,
    CI_SEEDS,
    CRASHING_SEED,
    REGRESSIONS,
)


@pytest.mark.parametrize('seed', [*CI_SEEDS, *REGRESSIONS])
async def test_seed_keeps_all_promises(seed: int, tmp_path: Path) -> None:
    """Processes are killed, stopped and paused; links and the store fail.

    Whatever comes together, clients and replicas see the promises kept, and
    requests are served again when all is over.
    """
    outcome = await play_seed(seed, CI_SECONDS, tmp_path)
    assert outcome.faults
    assert not outcome.violations


async def test_crashing_request_is_kept_out(tmp_path: Path) -> None:
    """A client sends what ends each replica that runs it, amid the faults.

    Each of three processes sees some of the ends. What others ask is served,
    and in calm no more than three replicas run it, as nodes agree by then.
    """
    outcome = await play_seed(
        CRASHING_SEED, CI_SECONDS, tmp_path, crashing=True
    )
    assert outcome.faults
    assert not outcome.violations


async def test_rate_limits_of_replicas_are_observed(tmp_path: Path) -> None:
    """Amid faults, a replica in need gets too much, or nothing any more."""
    outcome = await play_seed(ASKING_SEED, CI_SECONDS, tmp_path, asking=True)
    assert outcome.faults
    assert not outcome.violations
