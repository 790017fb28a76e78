"""Removes one guard at a time, and records how its test then fails.

A guard is a piece of code that a test protects; a test that passes without
its guard proves nothing. Each run uses a copy of the tree; the results go into
a page of the documentation.
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
_CONCURRENT_RUNS = 4
_TIMEOUT_SECONDS = 240
_SOURCES = (
    'packages/ryelatch-core/src',
    'packages/ryelatch-node/src',
    'packages/ryelatch-cli/src',
    'platform/src',
)


def remove_guard(copy: Path, row: dict[str, Any]) -> None:
    """Remove a guard in a copy of the tree.

    :param row: of ``guards.yaml``.
    :raises ValueError: if its file doesn't contain the guard.
    """
    path = copy / 'packages' / row['file']
    text = path.read_text()
    if row['old'] not in text:
        raise ValueError(f'guard not found in its file: {row["failure"]}')
    text = text.replace(row['old'], row['new'])
    if 'also' in row:
        text = text.replace(*row['also'])
    path.write_text(text)


async def run_without(row: dict[str, Any], limiter: asyncio.Semaphore) -> str:
    """Run a test without its guard.

    :param limiter: limits the number of concurrent runs.
    :returns: the line that describes the failure; empty if the test passed.
    """
    async with limiter:
        with tempfile.TemporaryDirectory() as folder:
            copy = Path(folder) / 'copy'
            ignored = shutil.ignore_patterns('.venv', '.git', 'results')
            shutil.copytree(_ROOT, copy, ignore=ignored)
            remove_guard(copy, row)
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
                async with asyncio.timeout(_TIMEOUT_SECONDS):
                    output, _ = await child.communicate()
            except TimeoutError:
                child.kill()
                return 'no end within the time limit'
    return _find_failure(output.decode(), child.returncode)


def _find_failure(output: str, code: int | None) -> str:
    if code == 0:
        return ''
    lines = re.findall(r'^E {2,}(\S.*)$', output, re.MULTILINE)
    selected = [line for line in lines if 'CancelledError' not in line]
    return (selected or lines or [f'exit code {code}'])[0][:110]


async def main() -> int:
    """Run all tests without their guards.

    :returns: exit code; 1 if a test passed without its guard.
    """
    groups = yaml.safe_load((Path(__file__).parent / 'guards.yaml').read_text())
    selected = sys.argv[1] if len(sys.argv) > 1 else ''
    rows = [
        row
        for group in groups
        for row in group['rows']
        if selected in row['test']
    ]
    limiter = asyncio.Semaphore(_CONCURRENT_RUNS)
    failures = await asyncio.gather(
        *(run_without(row, limiter) for row in rows)
    )
    results = json.loads(_RESULT.read_text()) if _RESULT.exists() else {}
    for row, failure in zip(rows, failures, strict=True):
        results[f'{row["test"]}{row.get("select", "")}'] = failure
        print(f'{"RED  " if failure else "GREEN"} {row["test"]}: {failure}')
    _RESULT.write_text(f'{json.dumps(results, indent=1, sort_keys=True)}\n')
    passed = sum(not failure for failure in failures)
    print(f'{len(failures) - passed} red without their guard, {passed} green')
    return 1 if passed else 0


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
