"""Reads YAML settings and finds every mistake with its line."""

import difflib
import functools
import itertools
import re
from collections.abc import Hashable, Iterator
from typing import Any, TypeVar, cast

import msgspec
import yaml
from result import Err, Ok, Result

from ryelatch_core.settings._errors import Mistake, SettingsError
from ryelatch_core.settings._schema import Settings

MAX_BYTES = 4_194_304
_MAX_DEPTH = 32
_REFERRED = ('models', 'routes')
_MAX_NODES = 200_000
_FORMATS = (
    (float, r'^[-+]?(\d[\d_]*\.\d*|\.\d+)([eE][-+]?\d+)?$'),
    (int, r'^[-+]?\d[\d_]*$'),
)

_Root = TypeVar('_Root')
_Path = tuple[str | int, ...]


class _Reader:
    """Turns YAML nodes into plain objects and remembers their lines."""

    def __init__(self, file: str) -> None:
        self.lines: dict[_Path, int] = {}
        self.mistakes: list[Mistake] = []
        self._file = file
        self._count = 0

    def blame(self, path: _Path, expected: str) -> None:
        """Add a mistake at the nearest place that the file has."""
        known = path
        while known and known not in self.lines:
            known = known[:-1]
        self.mistakes.append(
            Mistake(
                self._file,
                self.lines.get(known, 1),
                '/'.join(map(str, path)),
                expected,
            )
        )

    def read(self, node: yaml.Node, path: _Path = ()) -> Any:
        """Read a node and what is below it."""
        self.lines[path] = node.start_mark.line + 1
        self._count += 1
        if len(path) > _MAX_DEPTH or self._count > _MAX_NODES:
            # A file of aliases or brackets can grow without end in memory;
            # it shows as a node that stops answering. Depth and count are
            # bounded before anything is built from them.
            raise SettingsError(
                (
                    Mistake(
                        self._file,
                        self.lines[path],
                        '/'.join(map(str, path)),
                        f'at most {_MAX_DEPTH} levels and {_MAX_NODES} nodes',
                    ),
                )
            )
        if isinstance(node, yaml.MappingNode):
            return self._read_mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            return [
                self.read(entry, (*path, index))
                for index, entry in enumerate(node.value)
            ]
        return self._read_scalar(node, path)

    def _read_mapping(self, node: yaml.MappingNode, path: _Path) -> Any:
        mapping: dict[str, Any] = {}
        for key_node, entry in node.value:
            key = str(key_node.value)
            if key in mapping:
                self.lines[(*path, key)] = key_node.start_mark.line + 1
                self.blame((*path, key), 'this key only once')
                continue
            mapping[key] = self.read(entry, (*path, key))
            self.lines[(*path, key)] = key_node.start_mark.line + 1
        return mapping

    def _read_scalar(self, node: yaml.Node, path: _Path) -> Any:
        tag = node.tag.removeprefix('tag:yaml.org,2002:')
        if tag not in {'str', 'int', 'float', 'bool', 'null', 'timestamp'}:
            self.blame(path, f'plain text or a number, not the tag {node.tag}')
            return None
        if tag == 'null':
            return None
        if tag == 'bool':
            return node.value.lower() in {'true', 'yes', 'on'}
        if tag in {'int', 'float'}:
            return _read_number(node.value)
        return node.value


def _read_number(text: str) -> float | int | str:
    for kind, pattern in _FORMATS:
        if re.match(pattern, text):
            return kind(text.replace('_', ''))
    return text


@functools.cache
def build_schema(root: type[Any]) -> dict[str, Any]:
    """Build the JSON Schema of a settings class.

    :param root: ``Settings`` or ``Startup``.
    """
    schema = msgspec.json.schema(root)
    for definition in schema['$defs'].values():
        if 'properties' in definition:
            definition['additionalProperties'] = False
    schema['$schema'] = 'https://json-schema.org/draft/2020-12/schema'
    return schema


def _explain(error: Any) -> Iterator[tuple[_Path, str]]:
    """Turn one error of the schema library into places and words."""
    path = tuple(error.absolute_path)
    if error.validator == 'additionalProperties':
        known = sorted(error.schema['properties'])
        for key in sorted(set(error.instance) - set(known)):
            near = difflib.get_close_matches(key, known, 1)
            hint = f'; did you mean {near[0]!r}?' if near else ''
            yield (*path, key), f'one of {", ".join(known)}{hint}'
    elif error.validator == 'required':
        yield (
            path,
            error.message.replace(' is a required property', '')
            + (' is missing'),
        )
    elif error.validator == 'anyOf':
        branches = [
            branch
            for branch in error.schema['anyOf']
            if branch != {'type': 'null'}
        ]
        yield path, f'{_describe(branches[0])}, not {error.instance!r}'
    else:
        yield path, f'{_describe(error.schema)}, not {error.instance!r}'


def _describe(schema: dict[str, Any]) -> str:
    words = [str(schema.get('type', 'one of the known values'))]
    words += [
        f'{word} {schema[name]}'
        for name, word in (
            ('minimum', 'at least'),
            ('exclusiveMinimum', 'above'),
            ('maximum', 'at most'),
            ('pattern', 'matching'),
            ('enum', 'out of'),
            ('minLength', 'as long as'),
            ('description', '-'),
        )
        if name in schema
    ]
    return ' '.join(words)


def check_text(
    text: str,
    file: str,
    root: type[_Root],
) -> Result[_Root, SettingsError]:
    """Check a YAML file and read it into a settings class.

    :param file: its name, for the mistakes.
    :returns: the settings, or all mistakes at once.
    """
    import jsonschema  # loaded late: a node in service need not hold it

    reader = _Reader(file)
    try:
        plain = reader.read(_compose(text))
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 1
        return Err(
            SettingsError((Mistake(file, line, '', str(error.problem)),))
        )
    except SettingsError as error:
        return Err(error)
    validator = jsonschema.Draft202012Validator(
        build_schema(cast(Hashable, root))
    )
    for found in validator.iter_errors(plain):
        for path, expected in _explain(found):
            reader.blame(path, expected)
    if root is Settings:
        _blame_references(reader, plain)
    if not reader.mistakes:
        return Ok(msgspec.convert(plain, root))
    ordered = sorted(reader.mistakes, key=lambda found: found.line)
    return Err(SettingsError(tuple(ordered)))


def _compose(text: str) -> yaml.Node:
    if len(text) > MAX_BYTES:
        raise yaml.MarkedYAMLError(problem=f'at most {MAX_BYTES} bytes')
    node = yaml.compose(text, Loader=yaml.SafeLoader)
    if node is None:
        raise yaml.MarkedYAMLError(problem='a mapping, but the file is empty')
    return node


def _blame_references(reader: _Reader, plain: Any) -> None:
    """Blame names that lead nowhere and keys that two accounts share.

    This looks at what was read, whether or not it fits the schema, so that
    an operator sees these mistakes together with all others.
    """
    for path, name, known in _list_references(plain):
        if name not in known:
            near = difflib.get_close_matches(str(name), known, 1)
            hint = f'; did you mean {near[0]!r}?' if near else ''
            reader.blame(path, f'a known name, not {name!r}{hint}')
    owners: dict[str, _Path] = {}
    for path, account in _walk_accounts(plain):
        for index, key in enumerate(_dig_list(account, 'keys')):
            place = (*path, 'keys', index)
            if owners.setdefault(str(key), place) != place:
                owner = '/'.join(map(str, owners[str(key)][:-2]))
                reader.blame(place, f'a key of its own, not that of {owner}')


def _list_references(plain: Any) -> Iterator[tuple[_Path, Any, list[str]]]:
    services = list(_dig(plain, 'services'))
    for prefix, route in _dig(plain, 'routes').items():
        if isinstance(route, dict) and 'service' in route:
            yield ('routes', prefix, 'service'), route['service'], services
    nodes = [((), plain), *_walk_accounts(plain)]
    for (path, node), section in itertools.product(nodes, _REFERRED):
        policy = _dig(node, 'policy')
        for index, name in enumerate(_dig_list(policy, section)):
            known = list(_dig(plain, section))
            yield (*path, 'policy', section, index), name, known


def _walk_accounts(node: Any, path: _Path = ()) -> Iterator[tuple[_Path, Any]]:
    for name, account in _dig(node, 'accounts').items():
        place = (*path, 'accounts', name)
        yield place, account
        yield from _walk_accounts(account, place)


def _dig(node: Any, name: str) -> dict[str, Any]:
    """Look up a mapping; an empty one where something else stands."""
    found = node.get(name) if isinstance(node, dict) else None
    return found if isinstance(found, dict) else {}


def _dig_list(node: Any, name: str) -> list[Any]:
    found = node.get(name) if isinstance(node, dict) else None
    return found if isinstance(found, list) else []
