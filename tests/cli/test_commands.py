"""Commands of the command line for operators."""

import json
import os
import subprocess
import sys
from pathlib import Path

import jsonschema
import pytest
import yaml

from fleet.fleet import OPERATOR_KEY, make_shape, run_fleet
from ryelatch_core.settings import hash_key

_PROGRAM = str(Path(sys.executable).parent / 'ryelatch')
_EXAMPLES = Path(__file__).parent.parent.parent / 'examples'


def _run(*arguments: str, **env: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [_PROGRAM, *arguments],
        capture_output=True,
        text=True,
        check=False,
        env=os.environ | env,
    )


def test_schema_accepts_the_examples() -> None:
    for kind, names in (
        ('settings', ('saigon.yaml', 'khanyisa.yaml')),
        ('startup', ('node.yaml',)),
    ):
        schema = json.loads(_run('settings', 'schema', kind).stdout)
        for name in names:
            tree = yaml.safe_load((_EXAMPLES / name).read_text())
            jsonschema.Draft202012Validator(schema).validate(tree)


@pytest.mark.parametrize(
    ('arguments', 'code', 'part'),
    [
        (('settings', 'check', 'none.yaml'), 2, 'No such file'),
        (('status',), 2, 'no nodes'),
        (('settings', 'show'), 2, 'no platform'),
        (('settings', 'aply'), 2, 'apply'),
        (('--nodes', 'http://127.0.0.1:9', 'status'), 1, 'no node answers'),
        (
            ('--platform-url', 'http://127.0.0.1:9', 'settings', 'show'),
            3,
            'does not answer',
        ),
    ],
)
def test_wrong_use(arguments: tuple[str, ...], code: int, part: str) -> None:
    result = _run(*arguments, COLUMNS='200')
    assert result.returncode == code
    assert part in result.stderr
    assert 'Traceback' not in result.stderr


def test_mistakes_are_told_together(tmp_path: Path) -> None:
    wrong = tmp_path / 'wrong.yaml'
    wrong.write_text('polcy: {}\nmodels: {a: {layers: 0}}\n')
    result = _run('settings', 'check', str(wrong))
    assert result.returncode == 1
    assert "did you mean 'policy'?" in result.stderr
    assert 'models/a/layers' in result.stderr


def test_hash_key() -> None:
    result = _run('--output', 'json', 'hash-key', OPERATOR_KEY)
    assert json.loads(result.stdout) == [{'hash': hash_key(OPERATOR_KEY)}]


async def test_operators_day() -> None:
    """An operator reads the status, edits settings and drains a node."""
    async with run_fleet(make_shape(nodes=2)) as fleet:
        code, output, _ = await fleet.run_cli('--output', 'json', 'status')
        assert code == 0
        assert {row['revision'] for row in json.loads(output)} == {1}
        _, output, _ = await fleet.run_cli(
            'settings', 'explain', 'accounts/clinics/clinic-cho-ray'
        )
        assert 'accounts/clinics' in output
        code, output, _ = await fleet.run_cli('settings', 'show')
        shown = fleet.folder / 'shown.yaml'
        shown.write_text(output.replace('layers: 12', 'layers: 6'))
        _, output, _ = await fleet.run_cli('settings', 'diff', str(shown))
        assert '+    layers: 6' in output
        shown.write_text(shown.read_text().replace('layers: 6', 'layers: 12'))
        _, output, _ = await fleet.run_cli('settings', 'diff', str(shown))
        assert 'no difference' in output
        code, output, _ = await fleet.run_cli(
            'settings', 'apply', str(shown), '-m', 'the same again'
        )
        assert code == 0
        _, output, _ = await fleet.run_cli('settings', 'history')
        assert 'the same again' in output
        node = fleet.nodes[1]
        code, _, _ = await fleet.run_cli('drain', node.url)
        assert code == 0
        assert await node.child.wait() == 0
        code, _, errors = await fleet.run_cli('drain', node.url)
        assert code == 1
        assert 'did not accept the drain' in errors
