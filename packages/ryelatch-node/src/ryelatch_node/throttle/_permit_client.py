"""Asks other nodes for permits."""

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field

import msgspec

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.kernel import Clock
from ryelatch_core.membership import NodeEntry
from ryelatch_node.peer_sync import (
    REQUEST_ERRORS,
    PeerConnection,
    PeerSync,
    PermitRequest,
    PermitReply,
    connect_to_peer,
)

ASK_SECONDS = 0.1
"""Longest wait for a permit; a request waits for it, and has other replicas."""

REST_SECONDS = 2.0
"""How long a node that did not answer is not asked again."""

LONGEST_REST = 64.0
"""The same at most, as it doubles each time; a VM may be gone for good."""


@dataclass(frozen=True, slots=True)
class _Left:
    """That a node left questions unanswered.

    :param until: when it is asked again, in monotonic seconds.
    :param rest: seconds for which it was left.
    """

    until: float
    rest: float


@dataclass(eq=False)
class PermitClient:
    """Connections to the nodes that grant permits, by address."""

    log: LineLog
    clock: Clock
    peer_sync: PeerSync
    _lines: dict[str, PeerConnection] = field(default_factory=dict)
    _locks: dict[str, asyncio.Lock] = field(
        default_factory=lambda: defaultdict(asyncio.Lock)
    )
    _left: dict[str, _Left] = field(default_factory=dict)

    def stop(self) -> None:
        """Close all connections."""
        for address in tuple(self._lines):
            self._drop(address)

    def rests(self, limiter: NodeEntry) -> bool:
        """Whether a node left a question unanswered a short while ago."""
        left = self._left.get(limiter.address)
        return left is not None and self.clock.monotonic() < left.until

    async def ask(
        self,
        limiter: NodeEntry,
        question: PermitRequest,
    ) -> PermitReply | None:
        """Ask a node for a permit.

        :returns: nothing if no reply came.
        """
        async with self._locks[limiter.address]:
            # Those before may have found out that it does not answer.
            if self.rests(limiter):
                return None
            try:
                return await self._exchange(limiter.address, question)
            except REQUEST_ERRORS as error:
                self._leave(limiter, type(error).__name__)
                return None
            except asyncio.CancelledError:
                # A reply still to come would answer the next question.
                self._drop(limiter.address)
                raise

    async def _exchange(
        self,
        address: str,
        question: PermitRequest,
    ) -> PermitReply:
        async with asyncio.timeout(ASK_SECONDS):
            line = self._lines.get(address)
            if line is None:
                line = await connect_to_peer(self.peer_sync.dial, address)
                self._lines[address] = line
            body = await line.send_request(question)
        reply = msgspec.msgpack.decode(body, type=PermitReply)
        self._left.pop(address, None)
        return reply

    def _leave(self, limiter: NodeEntry, reason: str) -> None:
        self._drop(limiter.address)
        left = self._left.get(limiter.address)
        rest = min(LONGEST_REST, left.rest * 2 if left else REST_SECONDS)
        until = self.clock.monotonic() + rest
        self._left[limiter.address] = _Left(until, rest)
        self.log.record(
            catalogue.LIMITER_LEFT,
            peer=limiter.name,
            reason=reason,
            seconds=rest,
        )

    def _drop(self, address: str) -> None:
        line = self._lines.pop(address, None)
        if line is not None:
            line.drop()
