"""Tests for the validation of settings files."""

import pytest

from ryelatch_core.settings import (
    Settings,
    Startup,
    build_schema,
    check_text,
)

_WRONG = """policy:
  wieght: 2
  queue: -1
models:
  planner: {layers: many, context: 10}
routes:
  /x: {service: nope}
accounts:
  desk:
    keys: ['abc', !!python/object:os.system 'x']
    policy: {models: [planer], weight: 0}
"""


def _list_mistakes(text: str) -> list[str]:
    checked = check_text(text, 'f.yaml', Settings)
    return [str(mistake) for mistake in checked.unwrap_err().mistakes]


def test_every_mistake_at_once_with_its_line() -> None:
    reported = '\n'.join(_list_mistakes(_WRONG))
    for part in (
        'f.yaml:2: policy/wieght: one of concurrent',
        "did you mean 'weight'?",
        'f.yaml:3: policy/queue: integer at least 1',
        'f.yaml:5: models/planner/layers: integer',
        "f.yaml:5: models/planner: 'version' is missing",
        'f.yaml:7: routes//x/service: a known name',
        'f.yaml:10: accounts/desk/keys/0: string matching',
        'f.yaml:10: accounts/desk/keys/1: plain text or a number, not the tag',
        "f.yaml:11: accounts/desk/policy/models/0: a known name, not 'planer'",
        'f.yaml:11: accounts/desk/policy/weight: number above 0',
    ):
        assert part in reported


@pytest.mark.parametrize(
    ('text', 'part'),
    [
        ('', 'the file is empty'),
        ('a: [', 'f.yaml:1'),
        ('[' * 100 + ']' * 100, 'levels'),
        ('policy: {weight: 1, weight: 2}', 'only once'),
        ('x' * 5_000_000, 'bytes'),
        ('- 1', 'object'),
        ('a: &a [1]\nb: [*a, *a]', 'one of accounts'),
    ],
)
def test_hostile_files(text: str, part: str) -> None:
    assert part in '\n'.join(_list_mistakes(text))


def test_aliases_can_not_grow_without_end() -> None:
    """A small file has nine levels of aliases with ten references each.

    Expanded in memory it would have a billion nodes; reading stops at the
    limit.
    """
    lines = ['a0: &a0 [x, x, x, x, x, x, x, x, x, x]']
    for level in range(1, 10):
        row = ', '.join([f'*a{level - 1}'] * 10)
        lines.append(f'a{level}: &a{level} [{row}]')
    assert 'nodes' in '\n'.join(_list_mistakes('\n'.join(lines)))


def test_a_key_belongs_to_one_account() -> None:
    key = f'sha256:{"0" * 64}'
    text = f'accounts:\n  a: {{keys: ["{key}"]}}\n  b: {{keys: ["{key}"]}}\n'
    assert 'not that of accounts/a' in '\n'.join(_list_mistakes(text))


def test_schemas_refuse_unknown_keys() -> None:
    for root in (Settings, Startup):
        for definition in build_schema(root)['$defs'].values():
            if 'properties' in definition:
                assert definition['additionalProperties'] is False
