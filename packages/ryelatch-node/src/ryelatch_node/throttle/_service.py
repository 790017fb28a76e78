"""Keeps to what replicas say in their answers of how much they take."""

import itertools
import math
from collections.abc import Container, Iterable
from dataclasses import dataclass, field

from ryelatch_core.events import LineLog, UsageTracker, catalogue
from ryelatch_core.fleet import Replica
from ryelatch_core.kernel import App, Clock, Service
from ryelatch_core.membership import NodeEntry
from ryelatch_core.throttle import BackoffTracker, ReportedLimit, rank_limiters
from ryelatch_node.peer_sync import PeerSync, PermitReply
from ryelatch_node.ports import AnswerMetadata, RelayStartup
from ryelatch_node.tasks import Tasks
from ryelatch_node.throttle._limiter import Limiter
from ryelatch_node.throttle._permit_client import PermitClient

MOST_ASKED = 2
"""Nodes that are asked for a permit at most, one after the other."""

MOST_LIMITERS = 6
"""Nodes that may grant the permits of a replica, if those before are gone.

VMs that were removed for good stay in the list of nodes.
"""

LEAST_WAIT = 0.05
"""Seconds for which a replica is left at least where there is no permit."""

LONGEST_WAIT = 1.0
"""The same at most: another node may have left permits meanwhile."""


@dataclass(eq=False)
class Throttle:
    """Permits for requests to replicas that named a limit.

    The limit is for all nodes together, and each knows its own requests only.
    So one node grants the permits of a replica, and the others ask it. Which
    one follows from the list of nodes; if it does not answer, the next one.
    Without a permit a request goes to another replica.

    What a replica said goes along with each question and each reply, so a
    limit that is over at one node is soon over at all.
    """

    log: LineLog
    clock: Clock
    startup: RelayStartup
    peer_sync: PeerSync
    lines: PermitClient
    costs: UsageTracker = field(default_factory=UsageTracker)
    limiter: Limiter = field(init=False)
    _backoffs: BackoffTracker = field(default_factory=BackoffTracker)
    _closed: dict[str, float] = field(default_factory=dict)
    _ranked: dict[str, list[NodeEntry]] = field(default_factory=dict)
    _ranked_nodes: tuple[NodeEntry, ...] = ()
    _tasks: Tasks = field(init=False)

    def __post_init__(self) -> None:
        """Make what tells others, and answer them."""
        self._tasks = Tasks(self.log, 'throttle')
        self.limiter = Limiter(self.log, self.clock)
        self.peer_sync.server.handle_permit_request = self.limiter.answer

    async def stop(self) -> None:
        """Ask and tell nothing more."""
        await self._tasks.stop()
        self.lines.stop()

    def record_answer(self, replica: Replica, terms: AnswerMetadata) -> None:
        """Take what an answer says of the replica that gave it."""
        name = replica.name
        self._note_backoff(name, terms.backoff)
        if terms.limit is not None and math.isnan(terms.limit):
            self.log.record(catalogue.LIMIT_UNREADABLE, replica=name)
            return
        if terms.limit is None and not terms.signed:
            # A refusal or a spoiled answer need not say all that holds.
            return
        heard = ReportedLimit(terms.limit, self.clock.monotonic())
        changed = self.limiter.record_limit(name, heard)
        if changed and terms.limit is None:
            self._tasks.spawn(self._tell_free(name))

    def is_throttled(self, name: str) -> bool:
        """Whether a replica said that it takes little, or nothing now."""
        now = self.clock.monotonic()
        return self.is_limited(name) or self._backoffs.find_left(name, now) > 0

    def find_wait(self, names: Iterable[str]) -> float:
        """Tell in how many seconds the first of some replicas takes more.

        :returns: 0 if one of them does now, or if there is none.
        """
        now = self.clock.monotonic()
        waits = (
            max(
                self._backoffs.find_left(name, now),
                self._closed.get(name, now) - now,
            )
            for name in names
        )
        return max(0, min(waits, default=0))

    def is_limited(self, name: str) -> bool:
        """Whether a replica has a limit, by the name of its life."""
        return self.limiter.limits.find_limit(name) is not None

    def count_limited(self) -> int:
        """Count the replicas that have a limit."""
        return len(self.limiter.limits.list_limited())

    def list_closed(self) -> frozenset[str]:
        """Name the replicas that get no request of this node now.

        They want none, or there was no permit a moment ago.
        """
        now = self.clock.monotonic()
        self._closed = {
            name: until for name, until in self._closed.items() if until > now
        }
        return frozenset(self._closed) | self._backoffs.list_names(now)

    async def acquire_permit(self, replica: Replica) -> bool:
        """Take leave to send one request to a replica.

        :returns: whether it may be sent.
        """
        name = replica.name
        if self._backoffs.find_left(name, self.clock.monotonic()):
            return False
        if not self.is_limited(name):
            return True
        reply = await self._seek(name)
        outcome = 'granted' if reply.granted else 'denied'
        self.costs.count('permits', outcome)
        now = self.clock.monotonic()
        if not reply.granted:
            wait = min(LONGEST_WAIT, max(LEAST_WAIT, reply.wait))
            self._closed[name] = now + wait
        # It may have turned this node away while the permit was on its way.
        return reply.granted and not self._backoffs.find_left(name, now)

    def keep(self, names: Container[str]) -> None:
        """Forget the limits of replicas that have been gone for long."""
        self.limiter.limits.keep(names, self.clock.monotonic())
        self.limiter.forget_idle()

    def _note_backoff(self, name: str, seconds: float | None) -> None:
        if seconds is None:
            return
        if math.isnan(seconds):
            self.log.record(catalogue.BACKOFF_UNREADABLE, replica=name)
        else:
            self._backoffs.begin(name, seconds, self.clock.monotonic())
            self.log.record(
                catalogue.REPLICA_BACKOFF, replica=name, seconds=seconds
            )

    async def _seek(self, name: str) -> PermitReply:
        """Ask the nodes that grant the permits of a replica, in their order."""
        if not self.peer_sync.nodes:
            # Just started, and no list of the nodes has come yet.
            return self.limiter.answer(self.limiter.make_question(name))
        reachable = itertools.filterfalse(
            self.lines.rests, self._list_limiters(name)
        )
        for limiter in tuple(reachable)[:MOST_ASKED]:
            reply = await self._ask(limiter, name)
            if reply is not None:
                return reply
        self.costs.count('permits', 'unanswered')
        return PermitReply(False, LONGEST_WAIT, None, 0)

    def _list_limiters(self, name: str) -> list[NodeEntry]:
        """List the nodes to ask; ranking a large fleet takes a millisecond."""
        if self._ranked_nodes is not self.peer_sync.nodes:
            self._ranked_nodes = self.peer_sync.nodes
            self._ranked.clear()
        if name not in self._ranked:
            ranked = rank_limiters(name, self._ranked_nodes)
            self._ranked[name] = ranked[:MOST_LIMITERS]
        return self._ranked[name]

    async def _ask(self, limiter: NodeEntry, name: str) -> PermitReply | None:
        question = self.limiter.make_question(name)
        if limiter.name == self.startup.name:
            return self.limiter.answer(question)
        asked = self.clock.monotonic()
        reply = await self.lines.ask(limiter, question)
        if reply is not None:
            self.limiter.record_limit(
                name, ReportedLimit(reply.limit, asked - reply.age)
            )
        return reply

    async def _tell_free(self, name: str) -> None:
        """Tell the node that grants permits that a limit is over."""
        for limiter in self._list_limiters(name)[:1]:
            await self._ask(limiter, name)


def setup(app: App) -> None:
    """Add the service ``throttle``."""
    log = app.find('log', LineLog)
    peer_sync = app.find('news', PeerSync)
    throttle = Throttle(
        log,
        app.clock,
        app.find('startup', RelayStartup),
        peer_sync,
        PermitClient(log, app.clock, peer_sync),
        app.find('costs', UsageTracker),
    )
    app.add(Service('throttle', throttle, ('news',), stop=throttle.stop))
