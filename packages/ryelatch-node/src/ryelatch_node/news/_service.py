"""Asks peers what the store says, and tells them."""

import asyncio
import contextlib
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from ryelatch_core.events import CostBook, LineLog, catalogue
from ryelatch_core.kernel import App, Clock, Service, cancel_task
from ryelatch_core.membership import (
    NEVER,
    NodeEntry,
    choose_watchers,
    shares_watches,
    watches_for_others,
)
from ryelatch_node.news._frames import (
    PermitQuestion,
    PermitReply,
    Question,
    Reply,
    encode,
    read_body,
    unpack,
)
from ryelatch_node.news._line import (
    CONNECT_SECONDS,
    FAILURES,
    Dial,
    Line,
    open_line,
)
from ryelatch_node.news._memory import (
    NEVER_SECONDS,
    NO_TROUBLE,
    Blind,
    Heard,
    Memory,
    StoreTrouble,
)
from ryelatch_node.ports import Address, RelayStartup

REPLY_SECONDS = 0.4
"""How long beyond its wait a reply may take, a slowed VM's included."""

REST_SECONDS = 6.0
"""How long a peer that did not help is not asked again.

Asked again at once, each watch would cost its wait before the store is asked,
and what is confirmed grows old meanwhile.
"""

BLIND_SECONDS = 0.5
"""The same while the store answers this node as little as that peer.

One that watches asks the store again several times a second and is the first
to know when the store is back; those who wait for that ask it, not the store.
A peer that is blind or behind alone is left for as long as any other.
"""

LONGEST_WAIT = 30.0
"""Longest wait that a peer may ask for."""


@dataclass(frozen=True, slots=True)
class _Left:
    """That a peer was left.

    :param at: when, in monotonic seconds.
    :param answered: whether it answered, with what was too old.
    """

    at: float
    answered: bool


def _deny(question: PermitQuestion) -> PermitReply:
    return PermitReply(False, REST_SECONDS, question.limit, question.age)


@dataclass(eq=False)
class News:
    """What this node and its peers know of the store's objects.

    A peer's word is as good as the store's: each reply tells how long ago
    nothing else had changed, counted on one clock at either end, and is dated
    from when the question was sent. A peer that is cut off, silent or behind
    is left, and the store asked as if there were no peers.

    :param find_trouble: tells how the store answers this node.
    :param answer_permit: tells a peer whether it may send to a replica.
    """

    log: LineLog
    clock: Clock
    startup: RelayStartup
    dial: Dial = asyncio.open_connection
    costs: CostBook = field(default_factory=CostBook)
    address: Address = field(init=False)
    find_trouble: Callable[[], StoreTrouble] = lambda: NO_TROUBLE
    answer_permit: Callable[[PermitQuestion], PermitReply] = _deny
    _memories: dict[str, Memory] = field(
        default_factory=lambda: defaultdict(Memory)
    )
    _nodes: tuple[NodeEntry, ...] = ()
    _lines: dict[str, Line] = field(default_factory=dict)
    _left: dict[str, _Left] = field(default_factory=dict)
    _server: asyncio.Server | None = None
    _served: set['asyncio.Task[None]'] = field(default_factory=set)
    _asked: float = NEVER

    async def start(self) -> None:
        """Listen for peers."""
        host, port = self.startup.peers
        self._server = await asyncio.start_server(self.serve, host, port)
        bound = self._server.sockets[0].getsockname()
        self.address = Address(host, bound[1])

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for kind in tuple(self._lines):
            self._drop(kind)
        for task in tuple(self._served):
            await cancel_task(task)

    def know(self, nodes: Iterable[NodeEntry]) -> None:
        """Take note of which nodes there are."""
        self._nodes = tuple(nodes)

    def restart(self, kind: str, heard: Heard) -> None:
        """Take a whole list from the store."""
        self._memories[kind].restart(heard)

    def note(self, kind: str, heard: Heard) -> None:
        """Take an answer to a watch, from whomever."""
        self._memories[kind].note(heard)

    async def ask(
        self,
        kind: str,
        since: int,
        wait: float,
        *,
        oldest: float,
        alone: bool,
    ) -> Heard | Blind | None:
        """Ask a peer for what has changed.

        :param oldest: seconds since a peer heard of the store itself, beyond
            which its word is no use.
        :param alone: whether the store does not answer this node; one that
            watches for others then asks them too.
        :returns: nothing if the peer is of no use.
        """
        peer = self._choose(alone=alone)
        if peer is None:
            return None
        sent = self.clock.monotonic()
        question = Question(kind, since, wait, alone)
        try:
            async with asyncio.timeout(wait + CONNECT_SECONDS + REPLY_SECONDS):
                reply = await self._exchange(kind, peer, question)
            changes = unpack(reply.packed)
        except asyncio.CancelledError:
            # Its reply is still to come, and would answer the next question.
            self._drop(kind)
            raise
        except FAILURES as error:
            # Timeouts are among them: a peer whose connections went silent.
            self._leave(kind, peer, type(error).__name__)
            return None
        told = sent + min(reply.waited, self.clock.monotonic() - sent)
        unanswered = (
            None if reply.unanswered is None else told - reply.unanswered
        )
        if reply.age <= oldest:
            if not reply.covered:
                return None
            return Heard(
                reply.at, told - reply.age, changes, unanswered, reply.out
            )
        reason = 'blind' if reply.out else 'behind'
        self._leave(kind, peer, reason, answered=True)
        return None if unanswered is None else Blind(unanswered)

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
                await self._answer(reader, writer)
        except FAILURES:
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

    @property
    def nodes(self) -> tuple[NodeEntry, ...]:
        """The nodes that there are, this one included."""
        return self._nodes

    @property
    def shares(self) -> bool:
        """Whether some nodes of this fleet watch for others."""
        return shares_watches(self._nodes)

    @property
    def watches_for_others(self) -> bool:
        """Whether this node watches the store for others.

        One that is asked does, whatever its own count of the nodes says: with
        a count from before the others came it watched as for itself alone,
        and its followers left it every two seconds.
        """
        if self.clock.monotonic() - self._asked < REST_SECONDS:
            return True
        return watches_for_others(
            self.startup.name, self.startup.zone, self._nodes
        )

    def _choose(self, *, alone: bool) -> NodeEntry | None:
        """Choose the peer to ask; none if this node asks the store."""
        if not alone and (not self.shares or self.watches_for_others):
            return None
        now = self.clock.monotonic()
        me, zone = self.startup.name, self.startup.zone
        offered = choose_watchers(me, zone, self._nodes)
        return next(
            (one for one in offered if not self._rests(one, now)),
            None,
        )

    def _rests(self, peer: NodeEntry, now: float) -> bool:
        """Whether a peer was of no use a short while ago."""
        left = self._left.get(peer.name)
        if left is None:
            return False
        waits = left.answered and self.shares and self.find_trouble().out
        rest = BLIND_SECONDS if waits else REST_SECONDS
        return now - left.at < rest

    async def _exchange(
        self,
        kind: str,
        peer: NodeEntry,
        question: Question,
    ) -> Reply:
        line = self._lines.get(kind)
        if line is None or line.address != peer.address:
            self._drop(kind)
            line = await open_line(self.dial, peer.address)
            self._lines[kind] = line
        self.costs.count('peers', kind, 'questions')
        return msgspec.msgpack.decode(await line.ask(question), type=Reply)

    def _leave(
        self,
        kind: str,
        peer: NodeEntry,
        reason: str,
        *,
        answered: bool = False,
    ) -> None:
        self._drop(kind)
        self._left[peer.name] = _Left(self.clock.monotonic(), answered)
        self.log.record(
            catalogue.WATCHER_LEFT, peer=peer.name, kind_of=kind, reason=reason
        )

    def _drop(self, kind: str) -> None:
        line = self._lines.pop(kind, None)
        if line is not None:
            line.drop()

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        body = await read_body(reader)
        question = msgspec.msgpack.decode(body, type=Question | PermitQuestion)
        if isinstance(question, PermitQuestion):
            frame = encode(self.answer_permit(question))
        else:
            frame = await self._answer_watch(question)
        writer.write(frame)
        await writer.drain()

    async def _answer_watch(self, question: Question) -> bytes:
        asked = self.clock.monotonic()
        if not question.whole:
            self._asked = asked
        reply = await self._tell(question, asked)
        now = self.clock.monotonic()
        trouble = self.find_trouble()
        if trouble.unanswered > NEVER:
            reply = msgspec.structs.replace(
                reply, unanswered=now - trouble.unanswered, out=trouble.out
            )
        frame = encode(reply)
        if question.kind in self._memories:
            self.costs.count('peers', question.kind, 'answers')
            self.costs.count('peers', question.kind, 'bytes', number=len(frame))
        return frame

    async def _tell(self, question: Question, asked: float) -> Reply:
        """Tell what is known of a kind; nothing of one that isn't followed."""
        memory = self._memories.get(question.kind)
        if memory is None:
            return Reply(covered=False, age=NEVER_SECONDS)
        wait = min(LONGEST_WAIT, max(0, question.wait))
        await memory.wait(question.since, asked, wait)
        now = self.clock.monotonic()
        return memory.tell(question.since, asked, now, whole=question.whole)


def setup(app: App) -> None:
    """Add the service ``news``."""
    news = News(
        app.find('log', LineLog),
        app.clock,
        app.find('startup', RelayStartup),
        costs=app.find('costs', CostBook),
    )
    app.add(Service('news', news, start=news.start, stop=news.stop))
