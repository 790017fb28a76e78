"""Hybrid logical clock (Kulkarni et al., 2014)."""

from typing import NamedTuple

from ryelatch_core.kernel import Clock

_MILLISECONDS = 1000


class Stamp(NamedTuple):
    """A point in the common order of events of all processes.

    :param wall: milliseconds since the epoch, never less than that of a cause.
    :param tick: orders events of the same millisecond.
    """

    wall: int
    tick: int


class HybridClock:
    """Issues stamps that increase with each one issued or received."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last = Stamp(0, 0)

    def stamp(self) -> Stamp:
        """Issue the next stamp for an event of this process."""
        return self.observe(Stamp(0, 0))

    def observe(self, received: Stamp) -> Stamp:
        """Issue the next stamp after one received from another process."""
        now = Stamp(int(self._clock.wall() * _MILLISECONDS), 0)
        latest = max(self._last, received)
        if now.wall > latest.wall:
            self._last = now
        else:
            self._last = Stamp(latest.wall, latest.tick + 1)
        return self._last
