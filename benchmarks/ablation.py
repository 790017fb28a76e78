"""Simulates days without one mechanism of the product at a time.

The product has no switches for its mechanisms. So each is disabled in a copy of
the source tree, mostly by a value of a constant with which it has no effect.
The command that simulates a day is given as ``--play 'COMMAND {day}'``. It runs
in the copy, and must print its benefit score as a line ``worth 0.123 = ...``.
"""

import argparse
import re
import shlex
import shutil
import statistics
import subprocess
import sys
import tempfile
from concurrent import futures
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
_CORE = 'packages/ryelatch-core/src/ryelatch_core/fleet'
_RELAY = 'packages/ryelatch-node/src/ryelatch_node/relay'
_SCORE = re.compile(r'^worth (-?[0-9.]+) =', re.MULTILINE)


@dataclass(frozen=True)
class Mechanism:
    """A mechanism of the product, and the change that disables it.

    :param file: source file, relative to the root of the repository.
    :param pattern: regular expression for the code to replace.
    :param replacement: code that disables the mechanism.
    """

    name: str
    file: str
    pattern: str
    replacement: str


MECHANISMS = (
    Mechanism('nothing', f'{_CORE}/_window.py', r'\Z', ''),
    Mechanism(
        'windows',
        f'{_CORE}/_window.py',
        r'MIN_WINDOW = .*',
        'MIN_WINDOW = 1e9',
    ),
    Mechanism(
        'yielding',
        f'{_CORE}/_window.py',
        r'YIELDING_FRACTION = .*',
        'YIELDING_FRACTION = 1.0',
    ),
    Mechanism(
        'accounts',
        f'{_CORE}/_accounts.py',
        r'MAX_SHARE_MULTIPLE = .*',
        'MAX_SHARE_MULTIPLE = 1e9',
    ),
    Mechanism(
        'turns',
        f'{_CORE}/_retry_delays.py',
        r'RETRY_FRACTION = .*',
        'RETRY_FRACTION = 1e9',
    ),
    Mechanism('jitter', f'{_CORE}/_costs.py', r'_JITTER = .*', '_JITTER = 0.0'),
    Mechanism(
        'excess',
        f'{_CORE}/_costs.py',
        r'EXCESS_WEIGHT = .*',
        'EXCESS_WEIGHT = 0.0',
    ),
    Mechanism(
        'slots price',
        f'{_CORE}/_costs.py',
        r'SLOTS_SECONDS = .*',
        'SLOTS_SECONDS = 0.0',
    ),
    Mechanism(
        'spares',
        f'{_CORE}/_copies.py',
        r'_RESERVE_RATIO = .*',
        '_RESERVE_RATIO = 9.0',
    ),
    Mechanism(
        'failing replicas',
        f'{_CORE}/_failures.py',
        r'EVIDENCE_LIMIT = .*',
        'EVIDENCE_LIMIT = 1e9',
    ),
    Mechanism(
        'moves',
        f'{_RELAY}/_stream_migrator.py',
        r'MOVE_TRIES = .*',
        'MOVE_TRIES = 0',
    ),
    Mechanism(
        'evacuation',
        f'{_RELAY}/_migration_planner.py',
        r'MAX_TRIES = .*',
        'MAX_TRIES = 0',
    ),
    Mechanism(
        'waiting for a repair',
        f'{_RELAY}/_watch.py',
        r'MAX_REPAIR_WAIT_SECONDS = .*',
        'MAX_REPAIR_WAIT_SECONDS = 0.0',
    ),
    Mechanism(
        'first lists',
        f'{_RELAY}/_initial_sync.py',
        r'MAX_WAIT_SECONDS = .*',
        'MAX_WAIT_SECONDS = 0.0',
    ),
    Mechanism(
        'early listener',
        'packages/ryelatch-node/src/ryelatch_node/listener.py',
        r'bound\.listen\(BACKLOG\)',
        'pass',
    ),
)


def _copy(mechanism: Mechanism, folder: Path) -> Path:
    """Copy the source tree, and disable a mechanism in the copy."""
    copy = folder / mechanism.name.replace(' ', '-')
    ignored = shutil.ignore_patterns('.git', '.venv', '__pycache__')
    shutil.copytree(ROOT, copy, ignore=ignored)
    path = copy / mechanism.file
    changed, count = re.subn(
        mechanism.pattern, mechanism.replacement, path.read_text(), count=1
    )
    if count != 1:
        sys.exit(f'{mechanism.name}: {mechanism.pattern} not found in its file')
    path.write_text(changed)
    return copy


def _simulate(copy: Path, command: str, day: str) -> float:
    """Simulate a day in a copy.

    :returns: benefit score of the day.
    """
    words = shlex.split(command.format(day=day))
    finished = subprocess.run(words, cwd=copy, capture_output=True, text=True)
    score = _SCORE.search(finished.stdout)
    if not score:
        sys.exit(
            f'{copy.name}, {day}: no line "worth 0.123 = ..." in\n'
            f'{finished.stdout}'
        )
    return float(score[1])


def main() -> None:
    """Print a table of the benefit scores by mechanism and day."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--play', required=True)
    parser.add_argument('--prepare', default='true')
    parser.add_argument('--folder', type=Path, default=None)
    parser.add_argument('--jobs', type=int, default=4)
    parser.add_argument('days', nargs='+')
    options = parser.parse_args()
    folder = Path(tempfile.mkdtemp(dir=options.folder))
    copies = {
        mechanism.name: _copy(mechanism, folder) for mechanism in MECHANISMS
    }
    with futures.ThreadPoolExecutor(options.jobs) as pool:
        for copy in copies.values():
            subprocess.run(shlex.split(options.prepare), cwd=copy, check=True)
        simulations = {
            name: [
                pool.submit(_simulate, copy, options.play, day)
                for day in options.days
            ]
            for name, copy in copies.items()
        }
        print('| taken out |', ' | '.join(options.days), '| mean |')
        print('| --- |', '--- | ' * (len(options.days) + 1))
        for name, pending in simulations.items():
            scores = [simulation.result() for simulation in pending]
            cells = ' | '.join(f'{score:.3f}' for score in scores)
            print(f'| {name} | {cells} | {statistics.mean(scores):.3f} |')


if __name__ == '__main__':
    main()
