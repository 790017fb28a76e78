"""What a node tells those who ask it."""

import asyncio
import random

from ryelatch_node.peer_sync._frames import Change, unpack
from ryelatch_node.peer_sync._watch_cache import MOST_PACKED, StoreUpdate, Memory

_CHANGE = Change(b'{}', False)


def _make_memory() -> Memory:
    memory = Memory()
    memory.restart(StoreUpdate(10, 1), {})
    memory.note(StoreUpdate(12, 2, (_CHANGE,)))
    memory.note(StoreUpdate(15, 3, (_CHANGE, _CHANGE)))
    memory.note(StoreUpdate(15, 4))
    return memory


def test_all_changes_since_a_revision_are_told() -> None:
    memory = _make_memory()
    assert len(unpack(memory.tell(10, 5, 6).packed)) == 3
    assert len(unpack(memory.tell(12, 5, 6).packed)) == 2
    assert not unpack(memory.tell(15, 5, 6).packed)


def test_what_is_not_known_is_not_told() -> None:
    """One asks from before the list, another is ahead of this node."""
    memory = _make_memory()
    assert not memory.tell(9, 5, 6).covered
    assert not memory.tell(16, 5, 6).covered
    assert not Memory().tell(0, 5, 6).covered


def test_changes_before_a_new_list_are_not_told() -> None:
    """The store lost its history; what changed meanwhile is in no watch."""
    memory = _make_memory()
    memory.restart(StoreUpdate(20, 5), {})
    assert not memory.tell(15, 6, 7).covered
    assert memory.tell(20, 6, 7).covered


def test_reply_says_how_old_it_is() -> None:
    """A node that is cut off from the store goes on to answer.

    Taken for fresh, its word would keep revoked keys accepted.
    """
    reply = _make_memory().tell(15, 8, 9)
    assert (reply.waited, reply.age) == (1, 5)


def test_large_objects_are_left_to_the_store() -> None:
    """Thirty nodes would each be sent 100 kB a few times a second."""
    memory = _make_memory()
    content = random.Random(1).randbytes(MOST_PACKED + 1)
    memory.note(StoreUpdate(17, 5, (Change(content, False),)))
    assert not memory.tell(15, 6, 7).covered
    assert memory.tell(15, 6, 7, whole=True).covered


async def test_confirmation_ends_the_wait() -> None:
    """Nothing changes, and that is news to one who has to confirm."""
    memory = _make_memory()
    waiting = asyncio.create_task(memory.wait(15, 5, 10))
    await asyncio.sleep(0)
    assert not waiting.done()
    memory.note(StoreUpdate(15, 6))
    async with asyncio.timeout(1):
        await waiting
