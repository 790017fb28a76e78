"""Decides when streams leave replicas that are about to stop."""

from dataclasses import dataclass, field

from ryelatch_core.fleet import Replica, Stage
from ryelatch_node.relay._stream import LiveStream
from ryelatch_node.views import ReplicaView

LEAVING_SECONDS = 1.0
"""How long streams stay at a replica after it reported that it leaves.

The replica continues to work for at least two seconds after the report. A
typical answer takes two seconds, so a third of the streams finish in this time
and need no move, each of which costs a command.
"""

MOVE_SECONDS = 0.5
"""Time before the earliest stop of a replica in which its streams are moved.

A move takes 0.15 s, and some are refused once. The replica may have reported
that it leaves just after this node's list was last current. Where an outage
delayed the report, the time left can be shorter than a typical answer.
"""

RETRY_SECONDS = 0.3
"""Pause between two attempts to move a stream.

Other replicas may still load the layers, which takes half a second.
"""

MAX_TRIES = 12
"""Attempts to move a stream before it is left alone until it stalls."""


@dataclass(eq=False)
class MigrationPlanner:
    """Plans the migration of streams off replicas that stop or release layers.

    A leaving replica stops some seconds later, and its streams break. A
    replica that releases layers loads others only once no stream uses the old
    ones, which takes 7 s for the longest answers if they aren't moved; until
    then its zone lacks layers. A command to the first replica changes the path
    of a stream while it runs. The other replicas keep their KV caches, and the
    client sees no interruption.
    """

    replicas: ReplicaView
    # When this node first saw each replica leaving, in monotonic seconds.
    _leaving_since: dict[str, float] = field(default_factory=dict)

    def choose_replicas_to_leave(
        self, stream: LiveStream, now: float
    ) -> frozenset[str]:
        """Choose the replicas that a stream should leave now.

        If there are any, this counts as an attempt to move the stream.
        """
        if not stream.begun or stream.move_attempts >= MAX_TRIES:
            return frozenset()
        if now - stream.last_move_attempt < RETRY_SECONDS:
            return frozenset()
        due = frozenset(
            stage.replica.name
            for stage in stream.path[1:]
            if self._is_due(stage, now)
        )
        if due:
            stream.last_move_attempt = now
            stream.move_attempts += 1
        return due

    def is_leaving(self, replica: Replica) -> bool:
        """Whether a replica has reported that it leaves."""
        listed = self.replicas.replicas.get(replica.name)
        return listed is not None and listed.leaving

    def _compute_earliest_stop(self, name: str, now: float) -> float:
        """Compute the earliest time at which a leaving replica may stop."""
        since = self.replicas.find_leaving_since(name)
        announced = now if since is None else since
        return announced + self.replicas.freshness.bounds.bound

    def _is_due(self, stage: Stage, now: float) -> bool:
        listed = self.replicas.replicas.get(stage.replica.name)
        if listed is None:
            self._leaving_since.pop(stage.replica.name, None)
            return False
        if listed.leaving:
            seen = self._leaving_since.setdefault(listed.name, now)
            stop = self._compute_earliest_stop(listed.name, now)
            return now > min(seen + LEAVING_SECONDS, stop - MOVE_SECONDS)
        held = listed.layers
        return held is None or not held.covers(stage.layers)
