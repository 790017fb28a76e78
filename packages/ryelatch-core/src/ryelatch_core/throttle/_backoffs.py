"""Backoffs: replicas that have asked this node to send nothing for a while."""

from dataclasses import dataclass, field

MAX_BACKOFF_SECONDS = 600.0
"""Seconds after which a backoff ends, whatever the replica asked for.

A replica that asks for a year by mistake would otherwise get no request until
it restarts.
"""


@dataclass(eq=False)
class BackoffTracker:
    """Ends of the backoffs of replicas, by names of their incarnations.

    Only time ends a backoff, or a restart of the replica, whose new
    incarnation has none. A report, or an answer to an earlier request, does
    not show that the replica accepts requests again.
    """

    _until: dict[str, float] = field(default_factory=dict)

    def begin(self, name: str, seconds: float, now: float) -> None:
        """Begin a backoff; of several, the one that ends last counts."""
        until = now + min(seconds, MAX_BACKOFF_SECONDS)
        self._until[name] = max(until, self._until.get(name, until))

    def list_names(self, now: float) -> frozenset[str]:
        """List the replicas in backoff, and drop those whose time is over."""
        self._until = {
            name: until for name, until in self._until.items() if until > now
        }
        return frozenset(self._until)

    def find_left(self, name: str, now: float) -> float:
        """Find the seconds left of a replica's backoff; 0 if it has none."""
        return max(0, self._until.get(name, now) - now)
