"""Cooldowns of peers whose replies failed or were too old."""

from dataclasses import dataclass, field

from ryelatch_core.kernel import Clock

COOLDOWN_SECONDS = 6.0
"""How long a peer gets no request after it failed or its reply was too old.

Without it, each watch would first wait for that peer before the request goes
to the store, and the views would grow old meanwhile.
"""

CUT_OFF_COOLDOWN_SECONDS = 0.5
"""The same while neither that peer nor this node can reach the store.

A node that watches for others retries the store several times a second and is
the first to notice its return. The other nodes wait for that by requests to
it, rather than to the store. A peer that is the only one cut off or behind
gets the normal cooldown.
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

    def is_cooling_down(self, name: str, *, store_out: bool) -> bool:
        """Whether a peer should get no request now.

        :param store_out: whether the store is unavailable to this node too.
        """
        failure = self._failures.get(name)
        if failure is None:
            return False
        cooldown = (
            CUT_OFF_COOLDOWN_SECONDS
            if failure.answered and store_out
            else COOLDOWN_SECONDS
        )
        return self.clock.monotonic() - failure.at < cooldown
