"""Asks other nodes for permits."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field

import msgspec

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.kernel import Clock
from ryelatch_core.membership import NodeEntry
from ryelatch_node.news import (
    FAILURES,
    Line,
    News,
    PermitQuestion,
    PermitReply,
    open_line,
)

ASK_SECONDS = 0.1
"""Longest wait for a permit; a request waits for it, and has other replicas."""

REST_SECONDS = 2.0
"""How long a node that did not answer is not asked again."""

_BREAKS = (asyncio.CancelledError, *FAILURES)


@dataclass(eq=False)
class PermitLines:
    """Connections to the nodes that deal permits, by address."""

    log: LineLog
    clock: Clock
    news: News
    _lines: dict[str, Line] = field(default_factory=dict)
    _locks: dict[str, asyncio.Lock] = field(
        default_factory=lambda: defaultdict(asyncio.Lock)
    )
    _left: dict[str, float] = field(default_factory=dict)

    def stop(self) -> None:
        """Close all connections."""
        for address in tuple(self._lines):
            self._drop(address)

    def rests(self, dealer: NodeEntry) -> bool:
        """Whether a node left a question unanswered a short while ago."""
        left = self._left.get(dealer.address)
        return left is not None and self.clock.monotonic() - left < REST_SECONDS

    async def ask(
        self,
        dealer: NodeEntry,
        question: PermitQuestion,
    ) -> PermitReply | None:
        """Ask a node for a permit.

        :returns: nothing if no reply came.
        """
        try:
            async with asyncio.timeout(ASK_SECONDS):
                body = await self._exchange(dealer.address, question)
            return msgspec.msgpack.decode(body, type=PermitReply)
        except FAILURES as error:
            self._left[dealer.address] = self.clock.monotonic()
            self.log.record(
                catalogue.DEALER_LEFT,
                peer=dealer.name,
                reason=type(error).__name__,
            )
            return None

    async def _exchange(
        self,
        address: str,
        question: PermitQuestion,
    ) -> bytes:
        async with self._locks[address]:
            try:
                return await self._ask(address, question)
            except _BREAKS:
                # A reply still to come would answer the next question.
                self._drop(address)
                raise

    async def _ask(self, address: str, question: PermitQuestion) -> bytes:
        line = self._lines.get(address)
        if line is None:
            line = await open_line(self.news.dial, address)
            self._lines[address] = line
        return await line.ask(question)

    def _drop(self, address: str) -> None:
        line = self._lines.pop(address, None)
        if line is not None:
            line.drop()
