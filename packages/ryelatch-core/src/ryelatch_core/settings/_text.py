"""Settings as the YAML text that operators edit."""

import re
from typing import Any

import msgspec
import yaml

from ryelatch_core.settings._schema import Settings

_BASE = re.compile(r'^# base: revision (\d+)$', re.MULTILINE)


def render_text(settings: Settings, revision: int) -> str:
    """Render settings as YAML, with their revision in a comment."""
    plain = _prune(msgspec.to_builtins(settings))
    body = yaml.safe_dump(plain, sort_keys=False, allow_unicode=True)
    return f'# base: revision {revision}\n{body}'


def find_base_revision(text: str) -> int | None:
    """Find the revision on which an edited file is based."""
    found = _BASE.search(text)
    return int(found.group(1)) if found else None


def _prune(node: Any) -> Any:
    """Remove unset and empty entries, so that they are inherited."""
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
