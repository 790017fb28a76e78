"""What a node has lately heard of a kind of object, for those who ask."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from ryelatch_node.news._frames import Change, Reply

_MOST_STEPS = 256
"""Answers of the store that are kept; a peer that is further behind lists."""

MOST_CONTENT = 4096
"""Longest content of an object that is passed on, in bytes.

A configuration with hundreds of routes has 100 kB. Passed on to sixteen nodes
a few times a second it would fill a link that requests need; they read it
from the store themselves, unless it has turned them away.
"""


@dataclass(frozen=True, slots=True)
class Heard:
    """An answer of the store, or of a peer.

    :param at: revision of the store up to which changes are known.
    :param known: monotonic seconds at which nothing else had changed.
    """

    at: int
    known: float
    changes: tuple[Change, ...] = ()


@dataclass(eq=False)
class Memory:
    """The latest answers for one kind.

    :param start: revision from which all changes are kept.
    """

    start: int = -1
    at: int = -1
    known: float = float('-inf')
    _steps: deque[Heard] = field(default_factory=deque)
    _heard: asyncio.Event = field(default_factory=asyncio.Event)

    def restart(self, heard: Heard) -> None:
        """Take a whole list: what was before can't be told any more."""
        self._steps.clear()
        self.start = heard.at
        self._advance(heard)

    def note(self, heard: Heard) -> None:
        """Take an answer that goes on from where this node was."""
        if heard.changes:
            self._steps.append(heard)
        while len(self._steps) > _MOST_STEPS:
            self.start = self._steps.popleft().at
        self._advance(heard)

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

        :param whole: whether large objects are passed on too.
        """
        steps = self._list_steps(since)
        changes = tuple(change for step in steps for change in step.changes)
        large = any(len(one.content) > MOST_CONTENT for one in changes)
        if (large and not whole) or not self._covers(since):
            return Reply(covered=False)
        return Reply(
            True,
            self.at,
            now - asked,
            now - self.known,
            changes,
        )

    def _covers(self, since: int) -> bool:
        """Whether all changes since a revision are kept."""
        return self.start >= 0 and self.start <= since <= self.at

    def _list_steps(self, since: int) -> list[Heard]:
        return [step for step in self._steps if step.at > since]

    def _advance(self, heard: Heard) -> None:
        self.at = heard.at
        self.known = max(self.known, heard.known)
        self._heard.set()
        self._heard = asyncio.Event()
