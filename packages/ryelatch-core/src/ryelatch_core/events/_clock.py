"""Hybrid logical clock (Kulkarni et al., 2014)."""

from typing import NamedTuple

from ryelatch_core.kernel import Clock

_MILLISECONDS = 1000


class Stamp(NamedTuple):
    """A point on the time line of all processes.

    :param wall: milliseconds since the epoch, never behind a cause.
    :param tick: orders events of the same millisecond.
    """

    wall: int
    tick: int


class HybridClock:
    """Stamps that grow in this process and after each stamp seen."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last = Stamp(0, 0)

    def stamp(self) -> Stamp:
        """Take the next stamp for an event of this process."""
        return self.observe(Stamp(0, 0))

    def observe(self, seen: Stamp) -> Stamp:
        """Take the next stamp after one that another process sent."""
        now = Stamp(int(self._clock.wall() * _MILLISECONDS), 0)
        latest = max(self._last, seen)
        if now.wall > latest.wall:
            self._last = now
        else:
            self._last = Stamp(latest.wall, latest.tick + 1)
        return self._last
