"""Revisions: how accepted settings are stored, ordered and rebased."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec
from result import Err, Ok, Result

from ryelatch_core.settings._errors import SettingsError
from ryelatch_core.settings._schema import Settings

ROOT_KEY = 'settings/root'
_DIGEST_DIGITS = 40
_SECTIONS = ('accounts', 'models', 'services', 'routes', 'zones', 'engines')


@dataclass(frozen=True)
class Index:
    """One revision of the settings, as the digests of its parts.

    :param revision: increases by one with each accepted change.
    :param parts: digest of each part by its path, such as
        ``accounts/clinics``.
    :param parent: digest of the previous index, for the history.
    :param mark: unique to one write, so that a writer recognizes its own
        revision if the response to the write was lost.
    """

    revision: int
    parts: Mapping[str, str]
    author: str = ''
    message: str = ''
    time: float = 0
    parent: str = ''
    mark: str = ''


@dataclass(frozen=True)
class Bundle:
    """An index with the contents of all its parts, ready to be applied.

    :param blobs: encoded parts by their digests.
    """

    index: Index
    blobs: Mapping[str, bytes] = field(default_factory=dict)


@dataclass(frozen=True)
class Conflict:
    """Parts that another operator has changed as well since the base.

    :param theirs: newest index in the store.
    """

    parts: tuple[str, ...]
    theirs: Index


def digest_blob(blob: bytes) -> str:
    """Compute the digest by which a content is stored."""
    return hashlib.sha256(blob).hexdigest()[:_DIGEST_DIGITS]


def blob_key(digest: str) -> str:
    """Return the store's key for the content with a digest."""
    return f'settings/blob/{digest}'


def split_settings(settings: Settings) -> dict[str, bytes]:
    """Split the tree into encoded parts by path.

    Each entry of the root's mappings is a part, and so is the root's policy.
    """
    plain = msgspec.to_builtins(settings)
    parts = {'policy': plain['policy']} | {
        f'{section}/{name}': entry
        for section in _SECTIONS
        for name, entry in plain[section].items()
    }
    return {
        path: msgspec.msgpack.encode(entry, order='deterministic')
        for path, entry in parts.items()
    }


def join_bundle(bundle: Bundle) -> Result[Settings, SettingsError]:
    """Assemble the settings of a revision.

    :returns: the settings, or an error if any part is missing, altered or
        invalid.
    """
    plain: dict[str, Any] = {section: {} for section in _SECTIONS}
    try:
        for path, digest in bundle.index.parts.items():
            blob = bundle.blobs[digest]
            if digest_blob(blob) != digest:
                return Err(SettingsError(()))
            _insert_part(plain, path, msgspec.msgpack.decode(blob))
        return Ok(msgspec.convert(plain, Settings))
    except (KeyError, msgspec.MsgspecError):
        return Err(SettingsError(()))


def _insert_part(plain: dict[str, Any], path: str, part: Any) -> None:
    section, _, name = path.partition('/')
    if name:
        plain[section][name] = part
    else:
        plain[section] = part


def should_apply(current: int, offered: int) -> bool:
    """Return whether an offered revision replaces the one in force.

    A stale watch, a paused peer or a poll over an old connection may deliver
    an older revision after a newer one. Applying it would undo a change that
    an operator has seen accepted. The store's conditional update makes
    revision numbers only increase, so it is enough to compare them.
    """
    return offered > current


def rebase(
    base: Mapping[str, str],
    mine: Mapping[str, str],
    theirs: Index,
) -> Result[dict[str, str], Conflict]:
    """Apply an edit of an older revision to the newest one.

    :param base: parts of the revision that the operator edited.
    :param mine: parts after the operator's edit.
    :param theirs: newest index in the store.
    :returns: the parts of the next revision, or the conflicting parts.
    """
    touched = diff_parts(base, mine)
    changed_by_others = diff_parts(base, theirs.parts)
    conflicts = tuple(
        path
        for path in sorted(touched & changed_by_others)
        if mine.get(path) != theirs.parts.get(path)
    )
    if conflicts:
        return Err(Conflict(conflicts, theirs))
    kept = {
        path: digest
        for path, digest in theirs.parts.items()
        if path not in touched
    }
    added = {path: mine[path] for path in touched if path in mine}
    return Ok(kept | added)


def diff_parts(old: Mapping[str, str], new: Mapping[str, str]) -> set[str]:
    """List the parts that were added, removed or changed."""
    return {
        path
        for path in old.keys() | new.keys()
        if old.get(path) != new.get(path)
    }
