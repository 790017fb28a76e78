"""Settings as the YAML that operators edit."""

import re
from typing import Any

import msgspec
import yaml

from ryelatch_core.settings._schema import Settings

_BASE = re.compile(r'^# base: revision (\d+)$', re.MULTILINE)


def render_text(settings: Settings, revision: int) -> str:
    """Write settings as YAML that remembers the revision it came from."""
    plain = _prune(msgspec.to_builtins(settings))
    body = yaml.safe_dump(plain, sort_keys=False, allow_unicode=True)
    return f'# base: revision {revision}\n{body}'


def find_base_revision(text: str) -> int | None:
    """Find the revision that an edited file came from."""
    found = _BASE.search(text)
    return int(found.group(1)) if found else None


def _prune(node: Any) -> Any:
    """Leave out what says nothing, so that it is inherited."""
    if isinstance(node, dict):
        pruned = {name: _prune(entry) for name, entry in node.items()}
        return {
            name: entry
            for name, entry in pruned.items()
            if entry is not None and entry not in ({}, [], ())
        }
    if isinstance(node, list | tuple):
        return [_prune(entry) for entry in node]
    return node
