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

PERMIT_TIMEOUT_SECONDS = 0.1
"""Longest wait for a permit; a request waits for it, and has other replicas."""

COOLDOWN_SECONDS = 2.0
"""How long a node that did not answer is not asked again."""

MAX_COOLDOWN_SECONDS = 64.0
"""The same at most, as it doubles each time; a VM may be gone for good."""


@dataclass(frozen=True, slots=True)
class _Cooldown:
    """That a node left questions unanswered.

    :param until: when it is asked again, in monotonic seconds.
    :param seconds: seconds for which it was left.
    """

    until: float
    seconds: float


@dataclass(eq=False)
class PermitLines:
    """Connections to the nodes that grant permits, by address."""

    log: LineLog
    clock: Clock
    news: News
    _connections: dict[str, Line] = field(default_factory=dict)
    _locks: dict[str, asyncio.Lock] = field(
        default_factory=lambda: defaultdict(asyncio.Lock)
    )
    _cooldowns: dict[str, _Cooldown] = field(default_factory=dict)

    def stop(self) -> None:
        """Close all connections."""
        for address in tuple(self._connections):
            self._drop(address)

    def is_cooling_down(self, limiter: NodeEntry) -> bool:
        """Whether a node left a question unanswered a short while ago."""
        cooldown = self._cooldowns.get(limiter.address)
        return cooldown is not None and self.clock.monotonic() < cooldown.until

    async def ask(
        self,
        limiter: NodeEntry,
        request: PermitQuestion,
    ) -> PermitReply | None:
        """Ask a node for a permit.

        :returns: nothing if no reply came.
        """
        async with self._locks[limiter.address]:
            # Those before may have found out that it does not answer.
            if self.is_cooling_down(limiter):
                return None
            try:
                return await self._exchange(limiter.address, request)
            except FAILURES as error:
                self._begin_cooldown(limiter, type(error).__name__)
                return None
            except asyncio.CancelledError:
                # A reply still to come would answer the next question.
                self._drop(limiter.address)
                raise

    async def _exchange(
        self,
        address: str,
        request: PermitQuestion,
    ) -> PermitReply:
        async with asyncio.timeout(PERMIT_TIMEOUT_SECONDS):
            connection = self._connections.get(address)
            if connection is None:
                connection = await open_line(self.news.dial, address)
                self._connections[address] = connection
            body = await connection.ask(request)
        reply = msgspec.msgpack.decode(body, type=PermitReply)
        self._cooldowns.pop(address, None)
        return reply

    def _begin_cooldown(self, limiter: NodeEntry, reason: str) -> None:
        self._drop(limiter.address)
        cooldown = self._cooldowns.get(limiter.address)
        seconds = min(
            MAX_COOLDOWN_SECONDS,
            cooldown.seconds * 2 if cooldown else COOLDOWN_SECONDS,
        )
        until = self.clock.monotonic() + seconds
        self._cooldowns[limiter.address] = _Cooldown(until, seconds)
        self.log.record(
            catalogue.LIMITER_LEFT,
            peer=limiter.name,
            reason=reason,
            seconds=seconds,
        )

    def _drop(self, address: str) -> None:
        connection = self._connections.pop(address, None)
        if connection is not None:
            connection.drop()
