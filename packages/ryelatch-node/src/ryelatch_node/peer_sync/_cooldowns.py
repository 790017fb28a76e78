"""Cooldowns of peers whose replies failed or were too old."""

from dataclasses import dataclass, field

from ryelatch_core.kernel import Clock

COOLDOWN_SECONDS = 6.0
"""How long a peer gets no request after it failed or its reply was too old.

Otherwise each watch would wait for that peer before the request is sent to the
store, and this node's views would become outdated.
"""

PARTITIONED_COOLDOWN_SECONDS = 0.5
"""Cooldown of a peer while neither it nor this node can reach the store.

A node that watches the store for others retries it several times a second, so
it is the first to notice that the store is available again. The other nodes
send their requests to that node rather than to the store, and have to repeat
them soon. If this node can reach the store, and only the peer is partitioned
from it or behind, the peer gets the normal cooldown.
"""


@dataclass(frozen=True, slots=True)
class _Failure:
    """A request to a peer that failed or returned state that was too old.

    :param at: monotonic seconds.
    :param answered: whether the peer replied, with state that was too old.
    """

    at: float
    answered: bool


@dataclass(eq=False)
class PeerCooldowns:
    """The latest failure of each peer, by name of the peer."""

    clock: Clock
    _failures: dict[str, _Failure] = field(default_factory=dict)

    def start(self, name: str, *, answered: bool) -> None:
        """Start the cooldown of a peer.

        :param answered: whether the peer replied, with state that was too old.
        """
        self._failures[name] = _Failure(self.clock.monotonic(), answered)

    def is_unresponsive(self, name: str) -> bool:
        """Whether a peer didn't reply to a recent request."""
        failure = self._failures.get(name)
        if failure is None or failure.answered:
            return False
        return self.clock.monotonic() - failure.at < COOLDOWN_SECONDS

    def is_cooling_down(self, name: str, *, store_out: bool) -> bool:
        """Whether a peer should get no request now.

        :param store_out: whether the store is unavailable to this node too.
        """
        failure = self._failures.get(name)
        if failure is None:
            return False
        cooldown = (
            PARTITIONED_COOLDOWN_SECONDS
            if failure.answered and store_out
            else COOLDOWN_SECONDS
        )
        return self.clock.monotonic() - failure.at < cooldown
