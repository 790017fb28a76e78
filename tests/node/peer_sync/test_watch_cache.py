"""Replies to watches of peers from the cache of the store's changes."""

import asyncio
import random

from ryelatch_core.eras import StoreRevision
from ryelatch_node.peer_sync._frames import Change, unpack
from ryelatch_node.peer_sync._watch_cache import (
    MAX_PACKED_BYTES,
    StoreUpdate,
    WatchCache,
)

_CHANGE = Change(b'{}', False)


def _at(number: int, era: int = 1) -> StoreRevision:
    return StoreRevision(era, number)


def _make_cache() -> WatchCache:
    cache = WatchCache()
    cache.reset(StoreUpdate(_at(10), 1), {})
    cache.record(StoreUpdate(_at(12), 2, (_CHANGE,)))
    cache.record(StoreUpdate(_at(15), 3, (_CHANGE, _CHANGE)))
    cache.record(StoreUpdate(_at(15), 4))
    return cache


def test_all_changes_since_a_revision_are_told() -> None:
    cache = _make_cache()
    assert len(unpack(cache.make_reply(_at(10), 5, 6).packed)) == 3
    assert len(unpack(cache.make_reply(_at(12), 5, 6).packed)) == 2
    assert not unpack(cache.make_reply(_at(15), 5, 6).packed)


def test_what_is_not_known_is_not_told() -> None:
    """One requester is behind the list, another is ahead of this node."""
    cache = _make_cache()
    assert not cache.make_reply(_at(9), 5, 6).covered
    assert not cache.make_reply(_at(16), 5, 6).covered
    assert not WatchCache().make_reply(_at(0), 5, 6).covered


def test_era_that_has_ended_is_not_covered() -> None:
    """Peers get changes of one era for a revision of another.

    The number of their revision was given out again in the new era.
    """
    cache = _make_cache()
    assert not cache.make_reply(_at(12, era=2), 5, 6).covered
    cache.reset(StoreUpdate(_at(11, era=2), 5), {})
    cache.record(StoreUpdate(_at(13, era=2), 6, (_CHANGE,)))
    assert not cache.make_reply(_at(12), 6, 7).covered
    assert cache.make_reply(_at(12, era=2), 6, 7).covered
    assert cache.make_reply(_at(12), 6, 7).era == 2


def test_reply_of_another_era_is_not_delayed() -> None:
    """A peer learns of a new era only at the end of its watch."""
    cache = _make_cache()
    assert cache.has_update(_at(15, era=2), 8)
    cache.reset(StoreUpdate(_at(9, era=2), 5), {})
    assert cache.has_update(_at(15), 8)
    assert not cache.has_update(_at(9, era=2), 8)


def test_changes_before_a_new_list_are_not_told() -> None:
    """The store lost its history, so changes before the list are unknown."""
    cache = _make_cache()
    cache.reset(StoreUpdate(_at(20), 5), {})
    assert not cache.make_reply(_at(15), 6, 7).covered
    assert cache.make_reply(_at(20), 6, 7).covered


def test_reply_says_how_old_it_is() -> None:
    """A node that is cut off from the store still replies to peers.

    If its state were taken for current, revoked keys would stay accepted.
    """
    reply = _make_cache().make_reply(_at(15), 8, 9)
    assert (reply.waited, reply.age) == (1, 5)


def test_large_objects_are_left_to_the_store() -> None:
    """Thirty nodes would each get 100 kB several times a second otherwise."""
    cache = _make_cache()
    content = random.Random(1).randbytes(MAX_PACKED_BYTES + 1)
    cache.record(StoreUpdate(_at(17), 5, (Change(content, False),)))
    assert not cache.make_reply(_at(15), 6, 7).covered
    assert cache.make_reply(_at(15), 6, 7, whole=True).covered


async def test_confirmation_ends_the_wait() -> None:
    """Nothing changes; the requester still needs that as a confirmation."""
    cache = _make_cache()
    waiting = asyncio.create_task(cache.wait(_at(15), 5, 10))
    await asyncio.sleep(0)
    assert not waiting.done()
    cache.record(StoreUpdate(_at(15), 6))
    async with asyncio.timeout(1):
        await waiting
