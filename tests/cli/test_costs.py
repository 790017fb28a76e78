"""``ryelatch costs`` adds up the resource usage in files of log lines."""

import json
import subprocess
import sys
from pathlib import Path

_RYELATCH = str(Path(sys.executable).parent / 'ryelatch')


def _run(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [_RYELATCH, 'costs', *words],
        capture_output=True,
        text=True,
        check=False,
    )


def test_table_tells_fleet_and_mean(tmp_path: Path) -> None:
    path = tmp_path / 'fleet.log'
    lines = (
        {
            'time': 1,
            'process': f'node-{name}',
            'name': 'node-costs',
            'life': name,
            'counts': {'store/servers/watch/steady/empty': calls},
            'seconds': {'plan': 0.5},
        }
        for name, calls in (('a', 3), ('b', 4))
    )
    path.write_text(''.join(f'{json.dumps(line)}\n' for line in lines))
    result = _run(str(path))
    assert result.returncode == 0
    rows = [row.split() for row in result.stdout.splitlines()]
    assert ['7', '3.50', 'store/servers/watch/steady/empty'] in rows
    assert ['1.000', '0.5000', 'seconds/plan'] in rows


def test_lines_without_costs_are_an_error(tmp_path: Path) -> None:
    path = tmp_path / 'other.log'
    path.write_text('no line of a node\n')
    result = _run(str(path))
    assert result.returncode == 1
    assert 'no line reports resource usage' in result.stderr


def test_places_are_listed_by_rank(tmp_path: Path) -> None:
    """Lines of two nodes, of which each controlled a zone for a while."""
    path = tmp_path / 'fleet.log'
    nodes = (
        {
            'admission/rank 10/refused': 5,
            'admission/rank 2/granted': 4,
            'admission/rank 2/queued': 3,
        },
        {
            'admission/rank 2/granted': 1,
            'admission/rank 2/granted after a wait': 2,
            'admission/rank 2/refused': 1,
        },
    )
    lines = (
        {
            'time': 1,
            'process': f'node-{number}',
            'name': 'node-costs',
            'life': f'{number}',
            'counts': counts,
            'seconds': {},
        }
        for number, counts in enumerate(nodes)
    )
    path.write_text(''.join(f'{json.dumps(line)}\n' for line in lines))
    result = _run(str(path))
    assert result.returncode == 0
    rows = [row.split() for row in result.stdout.splitlines()]
    heads = (index for index, row in enumerate(rows) if row[:1] == ['rank'])
    start = next(heads)
    assert ' '.join(rows[start][1:]) == (
        'granted queued granted after a wait refused'
    )
    assert rows[start + 1 :] == [
        ['2', '5', '3', '2', '1'],
        ['10', '0', '0', '0', '5'],
    ]
