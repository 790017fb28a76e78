"""Takes off one guard at a time and keeps what its test then says.

A test that stays green without the guard it is for proves nothing. This runs
on a copy of the tree; the result goes into the page of proofs.
"""

import asyncio
import json
import os
import re
import shutil
import sys
import tempfile
from pathlib import Path
from typing import Any

import yaml

_ROOT = Path(__file__).parent.parent
_RESULT = _ROOT / 'benchmarks' / 'results' / 'guards.json'
_AT_ONCE = 4
_SECONDS = 240
_SOURCES = (
    'packages/ryelatch-core/src',
    'packages/ryelatch-node/src',
    'packages/ryelatch-cli/src',
    'platform/src',
)


def take_off(copy: Path, row: dict[str, Any]) -> None:
    """Take a guard off in a copy of the tree.

    :raises ValueError: if the guard is not where the list says.
    """
    path = copy / 'packages' / row['file']
    text = path.read_text()
    if row['old'] not in text:
        raise ValueError(f'no such guard: {row["failure"]}')
    text = text.replace(row['old'], row['new'])
    if 'also' in row:
        text = text.replace(*row['also'])
    path.write_text(text)


async def run_without(row: dict[str, Any], turn: asyncio.Semaphore) -> str:
    """Run a test without its guard.

    :returns: the line that tells of the failure; empty if it passed.
    """
    async with turn:
        with tempfile.TemporaryDirectory() as folder:
            copy = Path(folder) / 'copy'
            ignored = shutil.ignore_patterns('.venv', '.git', 'results')
            shutil.copytree(_ROOT, copy, ignore=ignored)
            take_off(copy, row)
            paths = os.pathsep.join(str(copy / part) for part in _SOURCES)
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                *('-m', 'pytest', '-n0', '-x', '-p', 'no:cacheprovider'),
                row['test'] + row.get('select', ''),
                cwd=copy,
                env=os.environ | {'PYTHONPATH': paths},
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.STDOUT,
            )
            try:
                async with asyncio.timeout(_SECONDS):
                    output, _ = await child.communicate()
            except TimeoutError:
                child.kill()
                return 'no end within the time limit'
    return _find_red(output.decode(), child.returncode)


def _find_red(output: str, code: int | None) -> str:
    if code == 0:
        return ''
    lines = re.findall(r'^E {2,}(\S.*)$', output, re.MULTILINE)
    wanted = [line for line in lines if 'CancelledError' not in line]
    return (wanted or lines or [f'exit code {code}'])[0][:110]


async def main() -> int:
    """Run all; 1 if a test stayed green without its guard."""
    groups = yaml.safe_load((Path(__file__).parent / 'guards.yaml').read_text())
    wanted = sys.argv[1] if len(sys.argv) > 1 else ''
    rows = [
        row
        for group in groups
        for row in group['rows']
        if wanted in row['test']
    ]
    turn = asyncio.Semaphore(_AT_ONCE)
    reds = await asyncio.gather(*(run_without(row, turn) for row in rows))
    known = json.loads(_RESULT.read_text()) if _RESULT.exists() else {}
    for row, red in zip(rows, reds, strict=True):
        known[row['test']] = red
        print(f'{"RED  " if red else "GREEN"} {row["test"]}: {red}')
    _RESULT.write_text(f'{json.dumps(known, indent=1, sort_keys=True)}\n')
    green = sum(not red for red in reds)
    print(f'{len(reds) - green} red without their guard, {green} green')
    return 1 if green else 0


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
