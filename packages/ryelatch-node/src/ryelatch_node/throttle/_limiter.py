"""Grants the permits of replicas that named a limit, to all nodes."""

from dataclasses import dataclass, field

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.kernel import Clock
from ryelatch_core.throttle import LimitTracker, ReportedLimit, TokenBucket
from ryelatch_node.peer_sync import PermitRequest, PermitReply


@dataclass(eq=False)
class Limiter:
    """What a node knows of limits, and the permits that it grants by them.

    Any node grants that is asked to; which one is asked is for the others to
    agree on.
    """

    log: LineLog
    clock: Clock
    limits: LimitTracker = field(default_factory=LimitTracker)
    _buckets: dict[str, TokenBucket] = field(default_factory=dict)

    def record_limit(self, name: str, heard: ReportedLimit) -> bool:
        """Take what a replica said, from whomever.

        :returns: whether it has a limit now and had none, or the reverse.
        """
        if not self.limits.record_limit(name, heard):
            return False
        if heard.limit is None:
            self.log.record(catalogue.REPLICA_UNLIMITED, replica=name)
        else:
            self.log.record(
                catalogue.REPLICA_LIMITED, replica=name, limit=heard.limit
            )
        return True

    def answer(self, question: PermitRequest) -> PermitReply:
        """Grant a permit to a node that asks, if there is one."""
        name, now = question.replica, self.clock.monotonic()
        self.record_limit(
            name, ReportedLimit(question.limit, now - question.age)
        )
        heard = self.limits.find(name)
        if heard is None or heard.limit is None:
            self._buckets.pop(name, None)
            age = question.age if heard is None else max(0, now - heard.at)
            return PermitReply(True, 0, None, age)
        bucket = self._buckets.setdefault(name, TokenBucket(heard.limit, now))
        bucket.resize(heard.limit, now)
        granted = question.limit is not None and bucket.take(now)
        wait = bucket.find_wait(now)
        return PermitReply(granted, wait, heard.limit, max(0, now - heard.at))

    def make_question(self, name: str) -> PermitRequest:
        """Ask for a permit, with what this node knows of the limit."""
        heard = self.limits.find(name)
        now = self.clock.monotonic()
        if heard is None:
            return PermitRequest(name, None, 0)
        return PermitRequest(name, heard.limit, max(0, now - heard.at))

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
