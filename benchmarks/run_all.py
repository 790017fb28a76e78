"""Runs all benchmarks one after the other, then draws the plots."""

import subprocess
import sys
from pathlib import Path

_HERE = Path(__file__).parent
_ALL = (
    'overhead',
    'idle',
    'slopes',
    'recovery',
    'shares',
    'placement',
    'overload',
    'claims',
    'fleet_decisions',
    'fencing',
    'plots',
)


def main() -> int:
    """Run all benchmarks.

    :returns: the largest of their exit codes.
    """
    codes = [
        subprocess.run(
            [sys.executable, str(_HERE / f'{name}.py')], check=False
        ).returncode
        for name in _ALL
    ]
    return max(codes)


if __name__ == '__main__':
    sys.exit(main())
