"""The scripts of the second review's cases; each fails until its fault is mended.

They are in no default run. Build first: the build line of `deploy/system.toml`,
then `review/build-2.sh`.
"""

import subprocess
from pathlib import Path

import pytest


@pytest.mark.parametrize('case', ['4', '5', '6', '7', '8'])
def test_case(case: str) -> None:
    """A rule of the users' pages is broken; `claim.txt` says which and how."""
    script = Path(__file__).parent / case / 'run.sh'
    assert subprocess.run([script], check=False).returncode == 0
