"""What a node has lately heard of a kind of object, for those who ask."""

import asyncio
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from ryelatch_core.membership import NEVER
from ryelatch_node.peer_sync._frames import (
    MOST_BYTES,
    Change,
    Reply,
    WholeReply,
    pack,
)

_MOST_STEPS = 256
"""Answers of the store that are kept; a peer that is further behind lists."""

MOST_PACKED = 32_768
"""Most bytes of changes that are passed on to one who may ask the store.

A configuration of 1,400 routes, 325 kB, has that much when it is packed;
for each of thirty nodes it takes an eighth of a second of a link of 64 Mbit/s.
More would fill a link that requests need, and each node reads it from the
store; it is passed on only to those that the store has turned away.
"""

_MOST_WHOLE = MOST_BYTES // 2
"""Most bytes of all objects of a kind, so that they fit a frame."""

_WHOLE = -2
"""Stands in for a revision where all objects are packed."""

NEVER_SECONDS = 1e9
"""Age told for what was never known; the wire holds no infinity."""


@dataclass(frozen=True, slots=True)
class StoreUpdate:
    """An answer of the store, or of a peer.

    :param at: revision of the store up to which changes are known.
    :param confirmed_at: monotonic seconds at which nothing else had changed.
    :param unanswered: monotonic seconds at which the peer's last call was
        sent that the store left unanswered; nothing if there was none.
    :param out: whether the store is out for that peer.
    """

    at: int
    confirmed_at: float
    changes: tuple[Change, ...] = ()
    unanswered: float | None = None
    out: bool = False


@dataclass(frozen=True, slots=True)
class StoreHealth:
    """How the store answers a node.

    :param unanswered: when the last call was sent that it left unanswered, in
        monotonic seconds.
    :param out: whether its last answer was none.
    """

    unanswered: float = NEVER
    out: bool = False


STORE_HEALTHY = StoreHealth()
"""No call was left unanswered yet."""


@dataclass(frozen=True, slots=True)
class PeerCutOff:
    """The word of a peer of no use that the store has not answered it.

    :param unanswered: monotonic seconds at which its last call was sent that
        got no answer.
    """

    unanswered: float


@dataclass(eq=False)
class Memory:
    """The latest answers for one kind, and all objects as of then.

    :param start: revision from which all changes are kept.
    """

    start: int = -1
    at: int = -1
    known: float = float('-inf')
    _objects: dict[str, bytes] = field(default_factory=dict)
    _steps: deque[StoreUpdate] = field(default_factory=deque)
    _packed: dict[int, bytes] = field(default_factory=dict)
    _heard: asyncio.Event = field(default_factory=asyncio.Event)

    def restart(self, heard: StoreUpdate, objects: Mapping[str, bytes]) -> None:
        """Take a whole list: what was before can't be told any more."""
        self._steps.clear()
        self._objects = dict(objects)
        self.start = heard.at
        self._advance(heard)

    def note(self, heard: StoreUpdate) -> None:
        """Take an answer that goes on from where this node was."""
        if heard.changes:
            self._steps.append(heard)
        while len(self._steps) > _MOST_STEPS:
            self.start = self._steps.popleft().at
        self._advance(heard)

    def keep(self, name: str, content: bytes) -> None:
        """Keep an object that is new or has changed."""
        self._objects[name] = content

    def forget(self, name: str) -> None:
        """Forget an object that was deleted."""
        self._objects.pop(name, None)

    def tell_whole(self, now: float) -> WholeReply:
        """Tell all objects, if they are known and not too long."""
        if _WHOLE not in self._packed:
            self._packed[_WHOLE] = pack(
                tuple(
                    Change(content, deleted=False)
                    for content in self._objects.values()
                )
            )
        packed = self._packed[_WHOLE]
        if self.at < 0 or len(packed) > _MOST_WHOLE:
            return WholeReply(known=False)
        age = min(now - self.known, NEVER_SECONDS)
        return WholeReply(known=True, at=self.at, age=age, packed=packed)

    def has_news(self, since: int, asked: float) -> bool:
        """Whether there is something to tell one who asked at a time."""
        return self.at >= since and (
            self.known > asked or bool(self._list_steps(since))
        )

    async def wait(self, since: int, asked: float, seconds: float) -> None:
        """Wait until there is something to tell, or a time has passed."""
        try:
            async with asyncio.timeout(seconds):
                while not self.has_news(since, asked):
                    await self._heard.wait()
        except TimeoutError:
            return

    def tell(
        self,
        since: int,
        asked: float,
        now: float,
        *,
        whole: bool = False,
    ) -> Reply:
        """Tell what has changed since a revision.

        :param whole: whether many changes are passed on too.
        """
        covered = self._covers(since)
        packed = self._pack_since(since) if covered else b''
        if len(packed) > MOST_PACKED and not whole:
            covered, packed = False, b''
        age = min(now - self.known, NEVER_SECONDS)
        return Reply(covered, self.at, now - asked, age, packed)

    def _pack_since(self, since: int) -> bytes:
        """Pack what has changed; those who ask are mostly at one revision."""
        if since not in self._packed:
            self._packed[since] = pack(
                tuple(
                    change
                    for step in self._list_steps(since)
                    for change in step.changes
                )
            )
        return self._packed[since]

    def _covers(self, since: int) -> bool:
        """Whether all changes since a revision are kept."""
        return self.start >= 0 and self.start <= since <= self.at

    def _list_steps(self, since: int) -> list[StoreUpdate]:
        return [step for step in self._steps if step.at > since]

    def _advance(self, heard: StoreUpdate) -> None:
        if heard.at != self.at or heard.changes:
            self._packed.clear()
        self.at = heard.at
        self.known = max(self.known, heard.confirmed_at)
        self._heard.set()
        self._heard = asyncio.Event()
