"""Cache of the store's objects and recent changes, from which peers watch."""

import asyncio
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from ryelatch_core.eras import UNKNOWN_REVISION, StoreRevision
from ryelatch_core.membership import NEVER
from ryelatch_node.peer_sync._frames import (
    MAX_FRAME_BYTES,
    Change,
    ListReply,
    WatchReply,
    pack,
)

_MAX_UPDATES = 256
"""Number of updates that are kept; a peer that is further behind must list."""

MAX_PACKED_BYTES = 32_768
"""Limit on the changes sent to a peer that can read them from the store.

A configuration of 1,400 routes, 325 kB, is compressed to this size; sending it
to thirty nodes takes an eighth of a second on a link of 64 Mbit/s. Anything
larger would occupy a link that requests need, so each node reads it from the
store; it is sent only to nodes that can't reach the store.
"""

_MAX_LIST_BYTES = MAX_FRAME_BYTES // 2
"""Limit on all objects of a kind when compressed, so that they fit a frame."""

_LIST_KEY = None
"""Key of all packed objects in a dictionary that is keyed by revision."""

UNKNOWN_AGE_SECONDS = 1e9
"""Age sent for state that was never known, in place of infinity."""


@dataclass(frozen=True, slots=True)
class StoreUpdate:
    """Changes of a kind of object, received from the store or from a peer.

    :param at: revision of the store up to which all changes are included.
    :param confirmed_at: monotonic seconds at which that revision was last
        confirmed as current.
    :param changes: the changes, or all objects in reply to a list request.
    :param unanswered: monotonic seconds at which the peer sent the last call
        that the store left unanswered; ``None`` if there was none.
    :param out: whether the store is unavailable to that peer.
    """

    at: StoreRevision
    confirmed_at: float
    changes: tuple[Change, ...] = ()
    unanswered: float | None = None
    out: bool = False


@dataclass(frozen=True, slots=True)
class StoreHealth:
    """Availability of the store, as a node observes it.

    :param unanswered: when the last call that the store left unanswered was
        sent, in monotonic seconds; ``NEVER`` if there was none.
    :param out: whether the store is unavailable.
    """

    unanswered: float = NEVER
    out: bool = False


STORE_HEALTHY = StoreHealth()
"""State of a node whose calls the store has all answered."""


@dataclass(frozen=True, slots=True)
class PeerPartitioned:
    """Reply of a peer that is partitioned from the store, with outdated state.

    :param unanswered: monotonic seconds at which the peer sent the last call
        that the store left unanswered.
    """

    unanswered: float


@dataclass(eq=False)
class WatchCache:
    """All objects of one kind, and its recent changes.

    :param start: revision after which all changes are kept; unknown before
        the first list.
    :param at: revision of the latest update.
    :param confirmed_at: monotonic seconds at which that revision was last
        confirmed as current.
    """

    start: StoreRevision = UNKNOWN_REVISION
    at: StoreRevision = UNKNOWN_REVISION
    confirmed_at: float = float('-inf')
    _objects: dict[str, bytes] = field(default_factory=dict)
    _updates: deque[StoreUpdate] = field(default_factory=deque)
    _packed: dict[StoreRevision | None, bytes] = field(default_factory=dict)
    _recorded: asyncio.Event = field(default_factory=asyncio.Event)

    def reset(self, update: StoreUpdate, objects: Mapping[str, bytes]) -> None:
        """Replace everything by a complete list.

        The changes that led to the list are unknown, so a peer at an earlier
        revision can't be served any more.

        :param objects: by name.
        """
        self._updates.clear()
        self._objects = dict(objects)
        self.start = update.at
        self._advance(update)

    def record(self, update: StoreUpdate) -> None:
        """Add an update that follows on the previous one."""
        if update.changes:
            self._updates.append(update)
        while len(self._updates) > _MAX_UPDATES:
            self.start = self._updates.popleft().at
        self._advance(update)

    def put(self, name: str, content: bytes) -> None:
        """Store an object that is new or has changed."""
        self._objects[name] = content

    def remove(self, name: str) -> None:
        """Remove an object that was deleted."""
        self._objects.pop(name, None)

    def make_list_reply(self, now: float) -> ListReply:
        """Reply with all objects, if they are known and fit a frame.

        :param now: monotonic seconds.
        """
        if _LIST_KEY not in self._packed:
            self._packed[_LIST_KEY] = pack(
                tuple(
                    Change(content, deleted=False)
                    for content in self._objects.values()
                )
            )
        packed = self._packed[_LIST_KEY]
        if self.at == UNKNOWN_REVISION or len(packed) > _MAX_LIST_BYTES:
            return ListReply(known=False)
        age = min(now - self.confirmed_at, UNKNOWN_AGE_SECONDS)
        return ListReply(
            known=True,
            at=self.at.number,
            age=age,
            packed=packed,
            era=self.at.era,
        )

    def has_update(self, since: StoreRevision, received: float) -> bool:
        """Whether the reply to a watch request can be sent now.

        It can be sent if there are changes, if the state was confirmed as
        current after the request arrived, or if it is of another era.

        :param since: revision that the requester has.
        :param received: when the request arrived, in monotonic seconds.
        """
        if self.at.era != since.era:
            return True
        return self.at.can_follow(since) and (
            self.confirmed_at > received or bool(self._list_updates(since))
        )

    async def wait(
        self, since: StoreRevision, received: float, timeout_seconds: float
    ) -> None:
        """Wait until there is an update for a request, or until a timeout.

        :param since: revision that the requester has.
        :param received: when the request arrived, in monotonic seconds.
        :param timeout_seconds: longest wait.
        """
        try:
            async with asyncio.timeout(timeout_seconds):
                while not self.has_update(since, received):
                    await self._recorded.wait()
        except TimeoutError:
            return

    def make_reply(
        self,
        since: StoreRevision,
        received: float,
        now: float,
        *,
        whole: bool = False,
    ) -> WatchReply:
        """Reply with the changes since a revision.

        :param since: revision that the requester has.
        :param received: when the request arrived, in monotonic seconds.
        :param now: monotonic seconds.
        :param whole: whether to include large changes, too.
        """
        covered = self._covers(since)
        packed = self._pack_since(since) if covered else b''
        if len(packed) > MAX_PACKED_BYTES and not whole:
            covered, packed = False, b''
        age = min(now - self.confirmed_at, UNKNOWN_AGE_SECONDS)
        return WatchReply(
            covered,
            self.at.number,
            now - received,
            age,
            packed,
            era=self.at.era,
        )

    def _pack_since(self, since: StoreRevision) -> bytes:
        """Pack the changes since a revision.

        The result is kept, as most requesters have the same revision.
        """
        if since not in self._packed:
            self._packed[since] = pack(
                tuple(
                    change
                    for update in self._list_updates(since)
                    for change in update.changes
                )
            )
        return self._packed[since]

    def _covers(self, since: StoreRevision) -> bool:
        """Whether all changes since a revision are kept."""
        return (
            self.start != UNKNOWN_REVISION
            and since.can_follow(self.start)
            and self.at.can_follow(since)
        )

    def _list_updates(self, since: StoreRevision) -> list[StoreUpdate]:
        return [update for update in self._updates if update.at > since]

    def _advance(self, update: StoreUpdate) -> None:
        if update.at != self.at or update.changes:
            self._packed.clear()
        self.at = update.at
        self.confirmed_at = max(self.confirmed_at, update.confirmed_at)
        self._recorded.set()
        self._recorded = asyncio.Event()
