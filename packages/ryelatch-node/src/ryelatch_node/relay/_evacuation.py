"""Finds streams that should leave a replica which is about to go."""

from dataclasses import dataclass, field

from ryelatch_core.fleet import Replica, Stage
from ryelatch_node.beliefs import ReplicaView
from ryelatch_node.relay._stream import LiveStream

LEAVING_SECONDS = 1.0
"""How long streams are let be at a replica that leaves.

It works on for at least two seconds after it said so. A usual answer takes
two, so a third of the streams end by themselves meanwhile, and each move is
an order with its price.
"""

MOVE_SECONDS = 0.5
"""Time before a replica may end in which its streams are moved.

A move takes 0.15 s, and some are refused once. The replica may have said that
it leaves just after the list was last known not to say so; where an outage
delayed the word, the rest of its time can be shorter than a usual answer.
"""

RETRY_SECONDS = 0.3
"""Pause between tries to move a stream; neighbours load for half a second."""

MAX_TRIES = 12
"""Tries after which a stream stays where it is until it stands still."""


@dataclass(eq=False)
class MigrationPlanner:
    """Watches for replicas that go while streams pass through them.

    A replica that leaves ends some seconds later and takes its streams with
    it. One that gives up layers loads others only when no stream passes
    through the old ones: measured, 7 s for the longest answers, with a gap
    in its zone until then. The first replica can be told another path while
    a stream runs; the other parts keep what they have read, and the caller
    sees nothing of it.
    """

    replicas: ReplicaView
    _since: dict[str, float] = field(default_factory=dict)

    def find_replicas_to_leave(self, stream: LiveStream, now: float) -> frozenset[str]:
        """Name the replicas that a stream should leave now, if any."""
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
        """Whether a replica says that it leaves."""
        listed = self.replicas.replicas.get(replica.name)
        return listed is not None and listed.leaving

    def _find_end(self, name: str, now: float) -> float:
        """Tell when a replica that leaves may end at the earliest."""
        since = self.replicas.find_leaving_since(name)
        begun = now if since is None else since
        return begun + self.replicas.freshness.bounds.bound

    def _is_due(self, stage: Stage, now: float) -> bool:
        listed = self.replicas.replicas.get(stage.replica.name)
        if listed is None:
            self._since.pop(stage.replica.name, None)
            return False
        if listed.leaving:
            noticed = self._since.setdefault(listed.name, now)
            ends = self._find_end(listed.name, now)
            return now > min(noticed + LEAVING_SECONDS, ends - MOVE_SECONDS)
        held = listed.layers
        return held is None or not held.covers(stage.layers)
