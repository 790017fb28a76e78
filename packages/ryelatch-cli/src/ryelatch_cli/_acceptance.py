"""Acceptance of an edit of the settings as the newest revision."""

import asyncio
import time
import uuid
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from ryelatch_core.settings import (
    ROOT_KEY,
    Bundle,
    Conflict,
    Index,
    Settings,
    blob_key,
    digest_blob,
    join_bundle,
    rebase,
    split_settings,
)
from ryelatch_node.store import Store, StoreError

_MAX_ATTEMPTS = 12
_RETRY_SECONDS = 0.25


@dataclass(frozen=True)
class Edit:
    """An edit that an operator submits.

    :param settings: the edited settings.
    :param base: the revision that was edited; ``None`` for the newest.
    :param message: reason of the edit, for the history.
    :param mark: identifies the edit, the same in all attempts to write it.
    """

    settings: Settings
    base: int | None
    author: str
    message: str
    mark: str = field(default_factory=lambda: uuid.uuid4().hex)


@dataclass(frozen=True)
class StoreUnavailable:
    """The store did not answer.

    :param mark: mark of the edit, if it may have been accepted nevertheless.
    """

    mark: str = ''


@dataclass(frozen=True)
class UnknownBase:
    """The history does not hold the revision that was edited."""

    revision: int


@dataclass(frozen=True)
class Root:
    """The root object of the settings, as it was read.

    :param version: of the object in the store; empty if there is none yet.
    """

    index: Index
    version: str


Refusal = Conflict | StoreUnavailable | UnknownBase


async def read_root(store: Store) -> Result[Root, StoreUnavailable]:
    """Read the newest revision; revision 0 if none was accepted yet."""
    found = await store.get(ROOT_KEY)
    if found.is_ok():
        entry = found.unwrap()
        index = msgspec.msgpack.decode(entry.body, type=Index)
        return Ok(Root(index, entry.version))
    if found.unwrap_err() is StoreError.MISSING:
        return Ok(Root(Index(0, {}), ''))
    return Err(StoreUnavailable())


async def read_bundle(store: Store, index: Index) -> Bundle | None:
    """Read all parts of a revision; ``None`` if one can't be read."""
    digests = sorted(set(index.parts.values()))
    found = await asyncio.gather(
        *(store.get(blob_key(digest)) for digest in digests)
    )
    if any(entry.is_err() for entry in found):
        return None
    bodies = (entry.unwrap().body for entry in found)
    return Bundle(index, dict(zip(digests, bodies, strict=True)))


async def read_settings(store: Store, index: Index) -> Settings | None:
    """Read the settings of a revision; ``None`` if they can't be read."""
    bundle = await read_bundle(store, index)
    joined = join_bundle(bundle) if bundle else None
    return joined.ok() if joined else None


async def list_history(store: Store, newest: Index, count: int) -> list[Index]:
    """List up to ``count`` revisions, the newest first."""
    history = [newest]
    while len(history) < count and history[-1].parent:
        found = await store.get(blob_key(history[-1].parent))
        if found.is_err():
            break
        history.append(msgspec.msgpack.decode(found.unwrap().body, type=Index))
    return [index for index in history if index.revision]


async def find_revision(
    store: Store,
    newest: Index,
    revision: int,
) -> Index | None:
    """Find a revision in the history; ``None`` if it isn't there."""
    depth = newest.revision - revision + 1
    history = await list_history(store, newest, max(1, depth))
    matching = [index for index in history if index.revision == revision]
    return matching[0] if matching else None


async def accept(store: Store, edit: Edit) -> Result[Index, Refusal]:
    """Make an edit the newest revision, or return why it is refused.

    The root object is replaced only if it hasn't changed since it was read.
    So of two concurrent edits of one base, one is written first, and the
    other is rebased or refused. If the response to a write is lost, the mark
    of the edit is looked up in the history, which holds it even if later
    revisions were accepted on top.
    """
    parts = split_settings(edit.settings)
    mine = {path: digest_blob(blob) for path, blob in parts.items()}
    for blob in parts.values():
        if not await _put_blob(store, blob):
            return Err(StoreUnavailable())
    for _ in range(_MAX_ATTEMPTS):
        found = await read_root(store)
        if found.is_err():
            await asyncio.sleep(_RETRY_SECONDS)
            continue
        root = found.unwrap()
        accepted = await _find_mark(store, root.index, edit.mark)
        if accepted is not None:
            return Ok(accepted)
        planned = await _plan_revision(store, edit, mine, root.index)
        if planned.is_err():
            return Err(planned.unwrap_err())
        index = planned.unwrap()
        if await _replace_root(store, root, index):
            return Ok(index)
    return Err(StoreUnavailable(edit.mark))


async def _plan_revision(
    store: Store,
    edit: Edit,
    mine: Mapping[str, str],
    newest: Index,
) -> Result[Index, Refusal]:
    """Rebase an edit on the newest revision, as the index of the next one."""
    base: Index | None = newest
    if edit.base is not None and edit.base != newest.revision:
        base = await find_revision(store, newest, edit.base)
    if base is None:
        return Err(UnknownBase(edit.base or 0))
    rebased = rebase(base.parts, mine, newest)
    if rebased.is_err():
        return Err(rebased.unwrap_err())
    parent = msgspec.msgpack.encode(newest)
    return Ok(
        Index(
            newest.revision + 1,
            rebased.unwrap(),
            edit.author,
            edit.message,
            time.time(),
            digest_blob(parent) if newest.revision else '',
            edit.mark,
        )
    )


async def _find_mark(store: Store, newest: Index, mark: str) -> Index | None:
    history = await list_history(store, newest, _MAX_ATTEMPTS)
    accepted = [index for index in history if index.mark == mark]
    return accepted[0] if accepted else None


async def _replace_root(store: Store, root: Root, index: Index) -> bool:
    if root.index.revision and not await _put_blob(
        store, msgspec.msgpack.encode(root.index)
    ):
        return False
    body = msgspec.msgpack.encode(index)
    if root.version:
        written = await store.update(ROOT_KEY, body, root.version)
    else:
        written = await store.create(ROOT_KEY, body)
    return written.is_ok()


async def _put_blob(store: Store, blob: bytes) -> bool:
    """Store a blob under its hash; an existing one is a success."""
    key = blob_key(digest_blob(blob))
    for _ in range(_MAX_ATTEMPTS):
        written = await store.create(key, blob)
        if written.is_ok() or written.unwrap_err() is StoreError.CONFLICT:
            return True
        await asyncio.sleep(_RETRY_SECONDS)
    return False
