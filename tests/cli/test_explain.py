"""``ryelatch explain`` explains a request from files of log lines."""

import json
import subprocess
import sys
from pathlib import Path

_RYELATCH = str(Path(sys.executable).parent / 'ryelatch')


def _run(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [_RYELATCH, 'explain', *words],
        capture_output=True,
        text=True,
        check=False,
    )


def _write_log(folder: Path) -> str:
    path = folder / 'node-a.log'
    lines = (
        {'time': 1, 'process': 'node-a', 'name': 'store-out'},
        {
            'time': 2,
            'process': 'node-a',
            'name': 'exchange-refused',
            'request': 'r-1',
            'reason': 'keys are unconfirmed',
        },
    )
    path.write_text(''.join(f'{json.dumps(line)}\n' for line in lines))
    return str(path)


def test_story_is_told(tmp_path: Path) -> None:
    result = _run('r-1', _write_log(tmp_path))
    assert result.returncode == 0
    assert 'store-out' in result.stdout
    assert 'no fresh word from the store' in result.stdout


def test_reasons_are_counted(tmp_path: Path) -> None:
    result = _run('all', _write_log(tmp_path))
    assert '1  exchange-refused: keys are unconfirmed' in result.stdout


def test_unknown_request_and_file_are_told(tmp_path: Path) -> None:
    unknown = _run('r-9', _write_log(tmp_path))
    assert unknown.returncode == 1
    assert 'r-9' in unknown.stderr
    missing = _run('r-1', str(tmp_path / 'absent.log'))
    assert missing.returncode == 2
    assert 'absent.log' in missing.stderr


def test_refusal_for_priority_is_explained(tmp_path: Path) -> None:
    """A less urgent request finds no place, just after a controller is lost."""
    path = tmp_path / 'node-a.log'
    lines = (
        {'time': 1, 'process': 'node-a', 'name': 'controller-lost'},
        {
            'time': 2,
            'process': 'node-a',
            'name': 'exchange-refused',
            'request': 'r-2',
            'reason': 'no place in time',
        },
    )
    path.write_text(''.join(f'{json.dumps(line)}\n' for line in lines))
    result = _run('r-2', str(path))
    assert result.returncode == 0
    assert 'requests that go first took what was freed' in result.stdout
    assert 'the last change before: controller-lost' in result.stdout
