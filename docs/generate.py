"""Generates the pages that are derived from code and measurements.

Without arguments, it writes the pages. With ``--check``, it reports pages that
differ from what would be written, and exits with 1 if there are any.
"""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import yaml
from capacity import load, render_capacity

from ryelatch_core.events import list_kinds
from ryelatch_core.settings import Settings, Startup, build_schema

_DOCS = Path(__file__).parent
_ROOT = _DOCS.parent


def render_events() -> str:
    """Render the catalogue of events."""
    rows = [
        f'| RL{kind.number} | {kind.name} | {kind.level.value} | {kind.text} '
        f'| {kind.action} |'
        for kind in list_kinds()
    ]
    head = (
        '# Events\n\nEvery log line starts with one of these numbers, and '
        '`ryelatch timeline` shows the same events of all nodes in order.\n\n'
        '| number | name | level | meaning | what to do |\n'
        '| --- | --- | --- | --- | --- |\n'
    )
    return head + '\n'.join(rows) + '\n'


def render_settings() -> str:
    """Render the reference of both settings files."""
    return '\n'.join(
        [
            '# Settings reference',
            '',
            'Made from the schema that `ryelatch settings schema` prints.',
            *_render_root('The settings tree', Settings),
            *_render_root('Start-up settings of a node', Startup),
            '',
        ]
    )


def _render_root(title: str, root: type[Any]) -> list[str]:
    lines = ['', f'## {title}']
    for name, definition in sorted(build_schema(root)['$defs'].items()):
        if 'properties' not in definition:
            continue
        lines += ['', f'### {name}', '', definition.get('description', ''), '']
        lines += ['| key | type | default | meaning |', '| - | - | - | - |']
        for key, entry in definition['properties'].items():
            default = entry.get('default', '')
            if key in definition.get('required', ()):
                default = 'required'
            lines.append(
                f'| `{key}` | {_name_type(entry)} | {default} '
                f'| {_find_description(entry)} |'
            )
    return lines


def _name_type(entry: dict[str, Any]) -> str:
    if '$ref' in entry:
        name = entry['$ref'].rsplit('/', 1)[1]
        return f'[{name}](#{name.lower()})'
    if 'anyOf' in entry:
        return ' or '.join(map(_name_type, entry['anyOf']))
    if 'enum' in entry:
        return ', '.join(map(str, entry['enum']))
    if entry.get('type') == 'array':
        return f'list of {_name_type(entry.get("items", {}))}'
    if entry.get('type') == 'object':
        return f'mapping to {_name_type(entry.get("additionalProperties", {}))}'
    return str(entry.get('type', 'anything'))


def _find_description(entry: dict[str, Any]) -> str:
    schemas = [entry, *entry.get('anyOf', ())]
    descriptions = [
        schema['description'] for schema in schemas if 'description' in schema
    ]
    return descriptions[0] if descriptions else ''


def render_proofs() -> str:
    """Render the promises, with the tests and mechanisms that guard them."""
    groups = yaml.safe_load((_ROOT / 'tests' / 'guards.yaml').read_text())
    failures = load('guards')
    tables = [_render_group(group, failures) for group in groups]
    template = (_DOCS / 'proofs.template.md').read_text()
    return template.replace('TABLES', '\n'.join(tables))


def _render_group(group: dict[str, Any], failures: dict[str, str]) -> str:
    """Render the table of one promise.

    :param failures: for each test, how it failed without its mechanism.
    """
    lines = [
        f'## {group["promise"]}',
        '',
        '| failure | test | mechanism | red without it | proved |',
        '| - | - | - | - | - |',
    ]
    for row in group['rows']:
        key = f'{row["test"]}{row.get("select", "")}'
        failure = failures.get(key, '').replace('|', '\\|')
        file = row['file'].split('/src/')[1]
        lines.append(
            f'| {row["failure"]} | `{row["test"]}` | `{file}` '
            f'| {f"`{failure}`" if failure else "not seen"} '
            f'| {"yes" if failure else "green only"} |'
        )
    return '\n'.join([*lines, ''])


def render_measurements() -> str:
    """Render the results of all benchmarks that have been run."""
    lines = [
        '# Measurements',
        '',
        'Made from `benchmarks/results`, written by `make bench`. One machine '
        'of 8 cores ran nodes, stand-ins and callers together; what counts is '
        'the ratios within one run.',
    ]
    for name, (title, tables) in _MEASURED.items():
        if not (_ROOT / 'benchmarks' / 'results' / f'{name}.json').exists():
            continue
        result = load(name)
        lines += ['', f'## {title}', '', f'`benchmarks/{name}.py`']
        for table in tables:
            rows = result[table] if table else [result]
            lines += ['', *_render_rows(rows)]
    return '\n'.join([*lines, ''])


def _render_rows(rows: list[dict[str, Any]] | dict[str, Any]) -> list[str]:
    row_list = rows if isinstance(rows, list) else [rows]
    names = [
        name for name, cell in row_list[0].items() if not isinstance(cell, dict)
    ]
    return [
        f'| {" | ".join(names)} |',
        f'|{" - |" * len(names)}',
        *(
            f'| {" | ".join(_format(row[name]) for name in names)} |'
            for row in row_list
        ),
    ]


def _format(cell: Any) -> str:
    if cell is None:
        return '-'
    return f'{cell:.4g}' if isinstance(cell, float) else str(cell)


_MEASURED: dict[str, tuple[str, tuple[str, ...]]] = {
    'overhead': ('The node against the engine alone', ('rows',)),
    'idle': ('Idle nodes', ('',)),
    'recovery': ('Gap between two tokens at a failure, seconds', ('rows',)),
    'shares': ('Small accounts while large ones surge', ('rows',)),
    'placement': ('Placement', ('small', 'large', 'replan')),
    'overload': ('Goodput under overload', ('rows',)),
    'fencing': ('Orders taken in error', ('rows',)),
    'claims': ('Bookings with and without a claim', ('rows',)),
    'fleet_decisions': (
        'Plans and paths, milliseconds of processor time',
        ('rows',),
    ),
}

_PAGES: dict[str, Callable[[], str]] = {
    'usage/events.md': render_events,
    'usage/settings-reference.md': render_settings,
    'CAPACITY.md': render_capacity,
    'PROOFS.md': render_proofs,
    'measurements.md': render_measurements,
}


def main() -> int:
    """Write or check all pages.

    :returns: exit code: 1 if a page that was checked is out of date.
    """
    stale = []
    for name, render in _PAGES.items():
        path = _DOCS / name
        text = render()
        if '--check' not in sys.argv:
            path.write_text(text)
        elif not path.exists() or path.read_text() != text:
            stale.append(name)
    if stale:
        print(f'pages out of date, run docs/generate.py: {", ".join(stale)}')
    return 1 if stale else 0


if __name__ == '__main__':
    sys.exit(main())
