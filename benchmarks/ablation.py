"""Plays days with each mechanism taken out, one at a time.

A mechanism is taken out on a scratch copy of the tree, by the value of a
constant that makes it do nothing; the product has no switches for it. The
command that plays a day is given by whoever runs this, as
``--play 'COMMAND {day}'``; it runs in the copy and prints a line
``worth 0.123 = ...``.
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
_WORTH = re.compile(r'^worth (-?[0-9.]+) =', re.MULTILINE)


@dataclass(frozen=True)
class Mechanism:
    """What is taken out, and how.

    :param pattern: a regular expression for the text in force.
    :param idle: the text in its place.
    """

    name: str
    file: str
    pattern: str
    idle: str


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
        'moves', f'{_RELAY}/_stream_migrator.py', r'MOVE_TRIES = .*', 'MOVE_TRIES = 0'
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
    """Copy the tree without a mechanism."""
    copy = folder / mechanism.name.replace(' ', '-')
    ignored = shutil.ignore_patterns('.git', '.venv', '__pycache__')
    shutil.copytree(ROOT, copy, ignore=ignored)
    path = copy / mechanism.file
    changed, count = re.subn(
        mechanism.pattern, mechanism.idle, path.read_text(), count=1
    )
    if count != 1:
        sys.exit(f'{mechanism.name}: {mechanism.pattern} not found')
    path.write_text(changed)
    return copy


def _play(copy: Path, command: str, day: str) -> float:
    """Play a day in a copy; its worth."""
    words = shlex.split(command.format(day=day))
    played = subprocess.run(words, cwd=copy, capture_output=True, text=True)
    found = _WORTH.search(played.stdout)
    if not found:
        sys.exit(f'{copy.name}, {day}: no worth in\n{played.stdout}')
    return float(found[1])


def main() -> None:
    """Print a table: worth of each day without each mechanism."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--play', required=True)
    parser.add_argument('--prepare', default='true')
    parser.add_argument('--folder', type=Path, default=None)
    parser.add_argument('--jobs', type=int, default=4)
    parser.add_argument('days', nargs='+')
    given = parser.parse_args()
    folder = Path(tempfile.mkdtemp(dir=given.folder))
    copies = {one.name: _copy(one, folder) for one in MECHANISMS}
    with futures.ThreadPoolExecutor(given.jobs) as pool:
        for copy in copies.values():
            subprocess.run(shlex.split(given.prepare), cwd=copy, check=True)
        found = {
            name: [
                pool.submit(_play, copy, given.play, day) for day in given.days
            ]
            for name, copy in copies.items()
        }
        print('| taken out |', ' | '.join(given.days), '| mean |')
        print('| --- |', '--- | ' * (len(given.days) + 1))
        for name, plays in found.items():
            worths = [play.result() for play in plays]
            told = ' | '.join(f'{one:.3f}' for one in worths)
            print(f'| {name} | {told} | {statistics.mean(worths):.3f} |')


if __name__ == '__main__':
    main()
