"""Replicas that want nothing from this node for a while, as they said."""

from dataclasses import dataclass, field

MAX_BACKOFF_SECONDS = 600.0
"""Seconds after which a replica is asked again, whatever it said.

One that names a year by mistake would else be lost until it starts anew.
"""


@dataclass(eq=False)
class BackoffTracker:
    """Until when replicas want nothing, by the names of their lives.

    Only time ends a backoff, or the end of that life: neither a report nor an
    answer to an earlier request says that the replica wants more.
    """

    _until: dict[str, float] = field(default_factory=dict)

    def begin(self, name: str, seconds: float, now: float) -> None:
        """Begin a backoff; of several the latest end counts."""
        until = now + min(seconds, MAX_BACKOFF_SECONDS)
        self._until[name] = max(until, self._until.get(name, until))

    def list_names(self, now: float) -> frozenset[str]:
        """Name the replicas that want nothing now, and forget the others."""
        self._until = {
            name: until for name, until in self._until.items() if until > now
        }
        return frozenset(self._until)

    def find_left(self, name: str, now: float) -> float:
        """Tell for how many seconds a replica wants nothing."""
        return max(0, self._until.get(name, now) - now)
