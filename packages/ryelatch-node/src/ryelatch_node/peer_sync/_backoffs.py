"""Peers that are not asked for a while, as they did not reply."""

from dataclasses import dataclass, field

from ryelatch_core.kernel import Clock

BACKOFF_SECONDS = 2.0
"""Time without another request to a peer that did not reply."""

MAX_BACKOFF_SECONDS = 64.0
"""Maximum of that time, which doubles with each request left unanswered.

The VM of the peer may have been removed permanently.
"""


@dataclass(frozen=True, slots=True)
class _Backoff:
    """A time without requests to a peer.

    :param until: when it may be asked again, in monotonic seconds.
    :param seconds: duration of the backoff.
    """

    until: float
    seconds: float


@dataclass(eq=False)
class PeerBackoffs:
    """Backoffs by the address of the peer."""

    clock: Clock
    _backoffs: dict[str, _Backoff] = field(default_factory=dict)

    def is_active(self, address: str) -> bool:
        """Whether a peer is not to be asked now."""
        backoff = self._backoffs.get(address)
        return backoff is not None and self.clock.monotonic() < backoff.until

    def begin(self, address: str) -> float:
        """Begin a backoff; returns its seconds."""
        previous = self._backoffs.get(address)
        seconds = BACKOFF_SECONDS
        if previous:
            seconds = min(MAX_BACKOFF_SECONDS, previous.seconds * 2)
        until = self.clock.monotonic() + seconds
        self._backoffs[address] = _Backoff(until, seconds)
        return seconds

    def end(self, address: str) -> None:
        """Forget the backoffs of a peer that has replied."""
        self._backoffs.pop(address, None)
