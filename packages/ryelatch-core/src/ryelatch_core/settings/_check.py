"""Reads settings from YAML and reports every mistake with its line."""

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
_POLICY_REFERENCES = ('models', 'routes')
_MAX_NODES = 200_000
_NUMBER_FORMATS = (
    (float, r'^[-+]?(\d[\d_]*\.\d*|\.\d+)([eE][-+]?\d+)?$'),
    (int, r'^[-+]?\d[\d_]*$'),
)

_Root = TypeVar('_Root')
_Path = tuple[str | int, ...]


class _Reader:
    """Converts YAML nodes to Python objects and records their lines."""

    def __init__(self, file: str) -> None:
        self.lines: dict[_Path, int] = {}
        self.mistakes: list[Mistake] = []
        self._file = file
        self._count = 0

    def add_mistake(self, path: _Path, expected: str) -> None:
        """Add a mistake, with the line of the nearest parent in the file."""
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
        """Convert a node and all nodes below it.

        :raises SettingsError: if there are too many nodes or levels.
        """
        self.lines[path] = node.start_mark.line + 1
        self._count += 1
        if len(path) > _MAX_DEPTH or self._count > _MAX_NODES:
            # A small file of aliases or brackets can expand without limit in
            # memory, and the process would stop responding. Depth and count
            # are checked before objects are built from the nodes.
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
                self.add_mistake((*path, key), 'this key only once')
                continue
            mapping[key] = self.read(entry, (*path, key))
            self.lines[(*path, key)] = key_node.start_mark.line + 1
        return mapping

    def _read_scalar(self, node: yaml.Node, path: _Path) -> Any:
        tag = node.tag.removeprefix('tag:yaml.org,2002:')
        if tag not in {'str', 'int', 'float', 'bool', 'null', 'timestamp'}:
            self.add_mistake(
                path, f'plain text or a number, not the tag {node.tag}'
            )
            return None
        if tag == 'null':
            return None
        if tag == 'bool':
            return node.value.lower() in {'true', 'yes', 'on'}
        if tag in {'int', 'float'}:
            return _read_number(node.value)
        return node.value


def _read_number(text: str) -> float | int | str:
    for kind, pattern in _NUMBER_FORMATS:
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
    """Convert an error of the schema library to paths and expected values."""
    path = tuple(error.absolute_path)
    if error.validator == 'additionalProperties':
        known = sorted(error.schema['properties'])
        for key in sorted(set(error.instance) - set(known)):
            similar = difflib.get_close_matches(key, known, 1)
            hint = f'; did you mean {similar[0]!r}?' if similar else ''
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
            ('minLength', 'of minimum length'),
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
    """Validate a YAML text and convert it to a settings class.

    :param file: name of the file, for the mistakes.
    :param root: ``Settings`` or ``Startup``.
    :returns: the settings, or an error with all mistakes.
    """
    import jsonschema  # imported late: a running node does not need it

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
            reader.add_mistake(path, expected)
    if root is Settings:
        _check_references(reader, plain)
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


def _check_references(reader: _Reader, plain: Any) -> None:
    """Report references to unknown names and keys shared by two accounts.

    Examines the objects even if they do not match the schema, so that an
    operator gets these mistakes together with all others.
    """
    for path, name, known in _list_references(plain):
        if name not in known:
            similar = difflib.get_close_matches(str(name), known, 1)
            hint = f'; did you mean {similar[0]!r}?' if similar else ''
            reader.add_mistake(path, f'a known name, not {name!r}{hint}')
    owners: dict[str, _Path] = {}
    for path, account in _walk_accounts(plain):
        for index, key in enumerate(_get_list(account, 'keys')):
            location = (*path, 'keys', index)
            if owners.setdefault(str(key), location) != location:
                owner = '/'.join(map(str, owners[str(key)][:-2]))
                reader.add_mistake(
                    location, f'a key of no other account, not that of {owner}'
                )


def _list_references(plain: Any) -> Iterator[tuple[_Path, Any, list[str]]]:
    services = list(_get_mapping(plain, 'services'))
    for prefix, route in _get_mapping(plain, 'routes').items():
        if isinstance(route, dict) and 'service' in route:
            yield ('routes', prefix, 'service'), route['service'], services
    nodes = [((), plain), *_walk_accounts(plain)]
    for (path, node), section in itertools.product(nodes, _POLICY_REFERENCES):
        policy = _get_mapping(node, 'policy')
        for index, name in enumerate(_get_list(policy, section)):
            known = list(_get_mapping(plain, section))
            yield (*path, 'policy', section, index), name, known


def _walk_accounts(node: Any, path: _Path = ()) -> Iterator[tuple[_Path, Any]]:
    for name, account in _get_mapping(node, 'accounts').items():
        location = (*path, 'accounts', name)
        yield location, account
        yield from _walk_accounts(account, location)


def _get_mapping(node: Any, name: str) -> dict[str, Any]:
    """Return an entry that is a mapping, else an empty mapping."""
    found = node.get(name) if isinstance(node, dict) else None
    return found if isinstance(found, dict) else {}


def _get_list(node: Any, name: str) -> list[Any]:
    found = node.get(name) if isinstance(node, dict) else None
    return found if isinstance(found, list) else []
