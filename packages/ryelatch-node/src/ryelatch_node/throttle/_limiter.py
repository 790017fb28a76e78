"""Grants permits for replicas with a rate limit to all nodes."""

from dataclasses import dataclass, field

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.kernel import Clock
from ryelatch_core.throttle import LimitTracker, ReportedLimit, TokenBucket
from ryelatch_node.peer_sync import PermitReply, PermitRequest


@dataclass(eq=False)
class Limiter:
    """Tracks the limits of replicas and grants permits within them.

    A node grants permits to any node that requests them; the requesters choose
    which node they ask.
    """

    log: LineLog
    clock: Clock
    limits: LimitTracker = field(default_factory=LimitTracker)
    _buckets: dict[str, TokenBucket] = field(default_factory=dict)

    def record_limit(self, name: str, reported: ReportedLimit) -> bool:
        """Record a limit that a replica reported to any node.

        :param name: name of the replica's incarnation.
        :returns: whether the replica now has a limit and had none, or the
            reverse.
        """
        if not self.limits.record_limit(name, reported):
            return False
        if reported.limit is None:
            self.log.record(catalogue.REPLICA_UNLIMITED, replica=name)
        else:
            self.log.record(
                catalogue.REPLICA_LIMITED, replica=name, limit=reported.limit
            )
        return True

    def handle_request(self, request: PermitRequest) -> PermitReply:
        """Grant a permit to a node that requests one, if one is available."""
        name, now = request.replica, self.clock.monotonic()
        self.record_limit(name, ReportedLimit(request.limit, now - request.age))
        reported = self.limits.find(name)
        if reported is None or reported.limit is None:
            self._buckets.pop(name, None)
            age = request.age if reported is None else max(0, now - reported.at)
            return PermitReply(True, 0, None, age)
        bucket = self._buckets.setdefault(
            name, TokenBucket(reported.limit, now)
        )
        bucket.resize(reported.limit, now)
        granted = request.limit is not None and bucket.take(now)
        wait = bucket.find_wait(now)
        return PermitReply(
            granted, wait, reported.limit, max(0, now - reported.at)
        )

    def make_request(self, name: str) -> PermitRequest:
        """Build a request for a permit, with this node's view of the limit."""
        reported = self.limits.find(name)
        now = self.clock.monotonic()
        if reported is None:
            return PermitRequest(name, None, 0)
        return PermitRequest(name, reported.limit, max(0, now - reported.at))

    def forget_idle(self) -> None:
        """Drop the token buckets of replicas for which no permit is requested.

        Buckets of replicas that this node does not list are kept: the node may
        learn of a replica later than others do, and would start with a new
        bucket at each request.
        """
        now = self.clock.monotonic()
        self._buckets = {
            name: bucket
            for name, bucket in self._buckets.items()
            if not bucket.is_idle(now)
        }
