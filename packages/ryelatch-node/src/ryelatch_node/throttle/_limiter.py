"""Grants the permits of replicas that named a limit, to all nodes."""

from dataclasses import dataclass, field

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.kernel import Clock
from ryelatch_core.throttle import Heard, LimitBook, TokenBucket
from ryelatch_node.news import PermitQuestion, PermitReply


@dataclass(eq=False)
class Limiter:
    """What a node knows of limits, and the permits that it grants by them.

    Any node grants that is asked to; which one is asked is for the others to
    agree on.
    """

    log: LineLog
    clock: Clock
    limits: LimitBook = field(default_factory=LimitBook)
    _buckets: dict[str, TokenBucket] = field(default_factory=dict)

    def hear(self, name: str, reported: Heard) -> bool:
        """Take what a replica said, from whomever.

        :returns: whether it has a limit now and had none, or the reverse.
        """
        if not self.limits.hear(name, reported):
            return False
        if reported.limit is None:
            self.log.record(catalogue.REPLICA_UNLIMITED, replica=name)
        else:
            self.log.record(
                catalogue.REPLICA_LIMITED, replica=name, limit=reported.limit
            )
        return True

    def handle_request(self, request: PermitQuestion) -> PermitReply:
        """Grant a permit to a node that asks, if there is one."""
        name, now = request.replica, self.clock.monotonic()
        self.hear(name, Heard(request.limit, now - request.age))
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

    def make_request(self, name: str) -> PermitQuestion:
        """Ask for a permit, with what this node knows of the limit."""
        reported = self.limits.find(name)
        now = self.clock.monotonic()
        if reported is None:
            return PermitQuestion(name, None, 0)
        return PermitQuestion(name, reported.limit, max(0, now - reported.at))

    def forget_idle(self) -> None:
        """Forget the permits that nobody asks for any more.

        Not those of replicas that this node does not list: it may hear of one
        later than others do, and would begin anew with each question.
        """
        now = self.clock.monotonic()
        self._buckets = {
            name: bucket
            for name, bucket in self._buckets.items()
            if not bucket.is_idle(now)
        }
