"""Tests that the pages agree with the code, the tests and the examples."""

import re
import subprocess
import sys
from pathlib import Path

from ryelatch_core.events import list_kinds

_ROOT = Path(__file__).parent.parent.parent
_DOCS = _ROOT / 'docs'


def test_catalogue_lists_every_event() -> None:
    page = (_DOCS / 'usage' / 'events.md').read_text()
    listed = re.findall(r'^\| RL(\d+) \| ([a-z-]+) \|', page, re.MULTILINE)
    kinds = [(str(kind.number), kind.name) for kind in list_kinds()]
    assert listed == kinds


def test_every_event_is_used() -> None:
    source = '\n'.join(
        path.read_text()
        for folder in ('packages', 'platform')
        for path in (_ROOT / folder).rglob('*.py')
    )
    unused = [
        kind.name
        for kind in list_kinds()
        if not re.search(
            rf'(catalogue\.|record\(|\()'
            rf'{kind.name.upper().replace("-", "_")}\b',
            source,
        )
    ]
    assert not unused


def test_generated_pages_are_fresh() -> None:
    checked = subprocess.run(
        [sys.executable, str(_DOCS / 'generate.py'), '--check'],
        capture_output=True,
        text=True,
        check=False,
    )
    assert checked.returncode == 0, checked.stdout


def test_proofs_name_tests_that_exist() -> None:
    page = (_DOCS / 'PROOFS.md').read_text()
    named = re.findall(r'`(tests/[\w/]+\.py)::(\w+)`', page)
    assert named
    for file, test in named:
        source = (_ROOT / file).read_text()
        assert re.search(rf'^(async )?def {test}\(', source, re.MULTILINE), test


def test_examples_have_no_mistakes() -> None:
    for name in ('saigon.yaml', 'khanyisa.yaml'):
        checked = subprocess.run(
            [
                str(Path(sys.executable).parent / 'ryelatch'),
                'settings',
                'check',
                str(_ROOT / 'examples' / name),
            ],
            check=False,
        )
        assert checked.returncode == 0
