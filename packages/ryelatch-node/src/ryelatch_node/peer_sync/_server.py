"""Answers the questions of peers."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeAlias

import msgspec

from ryelatch_core.events import UsageTracker
from ryelatch_core.kernel import Clock, cancel_task
from ryelatch_core.membership import NEVER
from ryelatch_node.peer_sync._frames import (
    Greeting,
    GreetingReply,
    PermitRequest,
    PermitReply,
    Question,
    Reply,
    WholeQuestion,
    WholeReply,
    encode,
    read_body,
)
from ryelatch_node.peer_sync._connection import REQUEST_ERRORS
from ryelatch_node.peer_sync._watch_cache import (
    NEVER_SECONDS,
    STORE_HEALTHY,
    Memory,
    StoreHealth,
)
from ryelatch_node.peer_sync._cooldowns import REST_SECONDS

_AnyQuestion: TypeAlias = Question | PermitRequest | Greeting | WholeQuestion

LONGEST_WAIT = 30.0
"""Longest wait that a peer may ask for."""


def _deny(question: PermitRequest) -> PermitReply:
    return PermitReply(False, REST_SECONDS, question.limit, question.age)


def _know(greeting: Greeting) -> GreetingReply:
    return GreetingReply(knows=True)


@dataclass(eq=False)
class PeerServer:
    """Tells peers what this node knows, and whether they may send.

    :param memories: what it has heard of the store, by kind.
    :param find_store_health: tells how the store answers this node.
    :param handle_permit_request: tells a peer whether it may send to a replica.
    :param take_greeting: learns from a peer which nodes there are.
    :param asked: when it was asked to watch last, in monotonic seconds.
    """

    clock: Clock
    costs: UsageTracker
    memories: dict[str, Memory]
    find_store_health: Callable[[], StoreHealth] = lambda: STORE_HEALTHY
    handle_permit_request: Callable[[PermitRequest], PermitReply] = _deny
    take_greeting: Callable[[Greeting], GreetingReply] = _know
    asked: float = NEVER
    _served: set['asyncio.Task[None]'] = field(default_factory=set)

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one peer until it goes."""
        task = asyncio.current_task()
        assert task is not None
        self._served.add(task)
        try:
            while True:
                await self._answer_one(reader, writer)
        except REQUEST_ERRORS:
            # The peer has gone, or is none; it asks anew, or the store.
            return
        except asyncio.CancelledError:
            # Only at the stop. The library's own callback looks at how this
            # task ended and takes a cancelled one for a crash.
            return
        finally:
            self._served.discard(task)
            with contextlib.suppress(OSError):
                writer.transport.abort()

    async def stop(self) -> None:
        """Answer nobody any more."""
        for task in tuple(self._served):
            await cancel_task(task)

    async def _answer_one(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        body = await read_body(reader)
        question = msgspec.msgpack.decode(body, type=_AnyQuestion)
        match question:
            case PermitRequest():
                frame = encode(self.handle_permit_request(question))
            case Greeting():
                frame = encode(self.take_greeting(question))
            case WholeQuestion():
                frame = encode(self._tell_whole(question))
            case Question():
                frame = await self._answer_watch(question)
        writer.write(frame)
        await writer.drain()

    def _tell_whole(self, question: WholeQuestion) -> WholeReply:
        memory = self.memories.get(question.kind)
        if memory is None:
            return WholeReply(known=False)
        now = self.clock.monotonic()
        reply = memory.tell_whole(now)
        unanswered = self.find_store_health().unanswered
        if unanswered > NEVER:
            reply = msgspec.structs.replace(reply, unanswered=now - unanswered)
        return reply

    async def _answer_watch(self, question: Question) -> bytes:
        asked = self.clock.monotonic()
        if not question.whole:
            self.asked = asked
        reply = await self._tell(question, asked)
        now = self.clock.monotonic()
        health = self.find_store_health()
        if health.unanswered > NEVER:
            reply = msgspec.structs.replace(
                reply, unanswered=now - health.unanswered, out=health.out
            )
        frame = encode(reply)
        if question.kind in self.memories:
            self.costs.count('peers', question.kind, 'answers')
            self.costs.count('peers', question.kind, 'bytes', number=len(frame))
        return frame

    async def _tell(self, question: Question, asked: float) -> Reply:
        """Tell what is known of a kind; nothing of one that isn't followed."""
        memory = self.memories.get(question.kind)
        if memory is None:
            return Reply(covered=False, age=NEVER_SECONDS)
        wait = min(LONGEST_WAIT, max(0, question.wait))
        await memory.wait(question.since, asked, wait)
        now = self.clock.monotonic()
        return memory.tell(question.since, asked, now, whole=question.whole)
