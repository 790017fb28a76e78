"""A short soak with fixed seeds, and seeds that failed once."""

from pathlib import Path

import pytest

from soak.play import play_seed
from soak.seeds import CI_SECONDS, CI_SEEDS, REGRESSIONS


@pytest.mark.parametrize('seed', [*CI_SEEDS, *REGRESSIONS])
async def test_seed_keeps_all_promises(seed: int, tmp_path: Path) -> None:
    """Processes are killed, stopped and paused; links and the store fail.

    Whatever comes together, clients and replicas see the promises kept, and
    requests are served again when all is over.
    """
    outcome = await play_seed(seed, CI_SECONDS, tmp_path)
    assert outcome.faults
    assert not outcome.violations
