"""Applies the rate limits and backoffs that replicas report in answers."""

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

MAX_LIMITERS_ASKED = 2
"""Maximum number of nodes that are asked for a permit, one after another."""

MAX_LIMITERS = 6
"""Nodes that may grant the permits of a replica, in order of preference.

Later ones are needed as VMs that were removed permanently stay in the list of
nodes.
"""

MIN_WAIT_SECONDS = 0.05
"""Minimum time without requests to a replica after a denied permit."""

MAX_WAIT_SECONDS = 1.0
"""Maximum time without requests to a replica after a denied permit.

Other nodes may leave permits unused in the meantime.
"""


@dataclass(eq=False)
class Throttle:
    """Enforces the rate limits and backoffs that replicas report.

    A rate limit applies to all nodes together, but each node only sees its own
    requests. So one node, the limiter, grants the permits of a replica, and the
    others request them from it. All nodes derive the limiter from the list of
    nodes; if it does not reply, they ask the next node in rank. Without a
    permit, a request goes to another replica.

    Every permit request and reply carries the last reported limit, so that the
    end of a limit quickly reaches all nodes.
    """

    log: LineLog
    clock: Clock
    startup: RelayStartup
    peer_sync: PeerSync
    permit_client: PermitClient
    usage: UsageTracker = field(default_factory=UsageTracker)
    limiter: Limiter = field(init=False)
    _backoffs: BackoffTracker = field(default_factory=BackoffTracker)
    _denied_until: dict[str, float] = field(default_factory=dict)
    _ranked: dict[str, list[NodeEntry]] = field(default_factory=dict)
    _ranked_nodes: tuple[NodeEntry, ...] = ()
    _tasks: Tasks = field(init=False)

    def __post_init__(self) -> None:
        """Create the limiter and register it to serve other nodes."""
        self._tasks = Tasks(self.log, 'throttle')
        self.limiter = Limiter(self.log, self.clock)
        self.peer_sync.server.handle_permit_request = (
            self.limiter.handle_request
        )

    async def stop(self) -> None:
        """Stop requesting permits, and close the connections."""
        await self._tasks.stop()
        self.permit_client.stop()

    def record_answer(self, replica: Replica, terms: AnswerMetadata) -> None:
        """Record the limit and backoff in a replica's answer.

        A limit that is given is recorded. If none is given, only a signed
        answer, one with the signature of a replica, means that there is none;
        any other answer leaves the known limit as it is. So does an unreadable
        limit, for which NaN stands; it is logged. The backoff is recorded in
        all these cases.
        """
        name = replica.name
        self._record_backoff(name, terms.backoff)
        if terms.limit is not None and math.isnan(terms.limit):
            self.log.record(catalogue.LIMIT_UNREADABLE, replica=name)
            return
        if terms.limit is None and not terms.signed:
            # A refusal or an invalid answer may leave out a limit that holds.
            return
        reported = ReportedLimit(terms.limit, self.clock.monotonic())
        changed = self.limiter.record_limit(name, reported)
        if changed and terms.limit is None:
            self._tasks.spawn(self._announce_unlimited(name))

    def is_throttled(self, name: str) -> bool:
        """Whether a replica has a rate limit or is in backoff."""
        now = self.clock.monotonic()
        return self.is_limited(name) or self._backoffs.find_left(name, now) > 0

    def find_wait(self, names: Iterable[str]) -> float:
        """Return the seconds until one of some replicas accepts requests.

        :param names: names of the replicas' incarnations.
        :returns: 0 if one of them accepts requests now, or if there is none.
        """
        now = self.clock.monotonic()
        waits = (
            max(
                self._backoffs.find_left(name, now),
                self._denied_until.get(name, now) - now,
            )
            for name in names
        )
        return max(0, min(waits, default=0))

    def is_limited(self, name: str) -> bool:
        """Whether a replica has a rate limit.

        :param name: name of the replica's incarnation.
        """
        return self.limiter.limits.find_limit(name) is not None

    def count_limited(self) -> int:
        """Count the replicas that have a rate limit."""
        return len(self.limiter.limits.list_limited())

    def list_closed(self) -> frozenset[str]:
        """List the names of the replicas that this node sends no requests to.

        They are in backoff, or a permit for them was denied a moment ago.
        """
        now = self.clock.monotonic()
        self._denied_until = {
            name: until
            for name, until in self._denied_until.items()
            if until > now
        }
        return frozenset(self._denied_until) | self._backoffs.list_names(now)

    async def acquire_permit(self, replica: Replica) -> bool:
        """Acquire a permit to send one request to a replica, if one is needed.

        :returns: whether the request may be sent.
        """
        name = replica.name
        if self._backoffs.find_left(name, self.clock.monotonic()):
            return False
        if not self.is_limited(name):
            return True
        reply = await self._request_permit(name)
        outcome = 'granted' if reply.granted else 'denied'
        self.usage.count('permits', outcome)
        now = self.clock.monotonic()
        if not reply.granted:
            wait = min(MAX_WAIT_SECONDS, max(MIN_WAIT_SECONDS, reply.wait))
            self._denied_until[name] = now + wait
        # A backoff may have begun while this node waited for the permit.
        return reply.granted and not self._backoffs.find_left(name, now)

    def keep(self, names: Container[str]) -> None:
        """Drop the limits of replicas that have been gone for a long time.

        :param names: names of the incarnations that are still listed.
        """
        self.limiter.limits.keep(names, self.clock.monotonic())
        self.limiter.forget_idle()

    def _record_backoff(self, name: str, seconds: float | None) -> None:
        if seconds is None:
            return
        if math.isnan(seconds):
            self.log.record(catalogue.BACKOFF_UNREADABLE, replica=name)
        else:
            self._backoffs.begin(name, seconds, self.clock.monotonic())
            self.log.record(
                catalogue.REPLICA_BACKOFF, replica=name, seconds=seconds
            )

    async def _request_permit(self, name: str) -> PermitReply:
        """Request a permit from the limiters of a replica, in order."""
        if not self.peer_sync.nodes:
            # This node has just started and has no list of nodes yet.
            return self.limiter.handle_request(self.limiter.make_request(name))
        reachable = itertools.filterfalse(
            self.permit_client.is_cooling_down, self._list_limiters(name)
        )
        for limiter in tuple(reachable)[:MAX_LIMITERS_ASKED]:
            reply = await self._ask_limiter(limiter, name)
            if reply is not None:
                return reply
        self.usage.count('permits', 'unanswered')
        return PermitReply(False, MAX_WAIT_SECONDS, None, 0)

    def _list_limiters(self, name: str) -> list[NodeEntry]:
        """List a replica's limiters by rank.

        The ranking is cached, as it takes 1 ms in a large fleet.
        """
        if self._ranked_nodes is not self.peer_sync.nodes:
            self._ranked_nodes = self.peer_sync.nodes
            self._ranked.clear()
        if name not in self._ranked:
            ranked = rank_limiters(name, self._ranked_nodes)
            self._ranked[name] = ranked[:MAX_LIMITERS]
        return self._ranked[name]

    async def _ask_limiter(
        self, limiter: NodeEntry, name: str
    ) -> PermitReply | None:
        request = self.limiter.make_request(name)
        if limiter.name == self.startup.name:
            return self.limiter.handle_request(request)
        sent = self.clock.monotonic()
        reply = await self.permit_client.request_permit(limiter, request)
        if reply is not None:
            self.limiter.record_limit(
                name, ReportedLimit(reply.limit, sent - reply.age)
            )
        return reply

    async def _announce_unlimited(self, name: str) -> None:
        """Notify the first limiter of a replica that its limit has ended."""
        for limiter in self._list_limiters(name)[:1]:
            await self._ask_limiter(limiter, name)


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
