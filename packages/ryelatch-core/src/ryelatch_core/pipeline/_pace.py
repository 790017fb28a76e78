"""How fast engines answer, as one node sees it, and what that costs."""

import math
import statistics
from collections.abc import Iterable
from dataclasses import dataclass, field

FADE_SECONDS = 10.0
STALE_SECONDS = 3.0
SLOW_FACTOR = 4.0
SLOW_SECONDS = 0.02
WINDOW_SECONDS = 0.25
_WEIGHT = 0.2
_LONG_WEIGHT = 0.002
_ROOM = 64


@dataclass
class _Window:
    """The steps of a short time.

    :param began: monotonic seconds of its first receipt.
    :param total: seconds that its steps took together.
    """

    began: float = -math.inf
    total: float = 0
    steps: int = 0

    def add(self, seconds: float) -> None:
        """Count a step."""
        self.total += seconds
        self.steps += 1

    def find_mean(self) -> float:
        """Find how long a step took, in seconds; 0 without any."""
        return self.total / self.steps if self.steps else 0


@dataclass
class LatencyTracker:
    """The time between a step and its receipt, smoothed.

    It contains what the engine's own reports lag behind with, and a link
    that has become slow, which no engine reports.

    :param latency: seconds.
    :param seen: monotonic seconds of the last receipt; 0 before any.
    :param normal: seconds, over hundreds of steps.
    """

    latency: float = 0
    seen: float = 0
    normal: float = 0
    _current: _Window = field(default_factory=_Window)
    _previous: _Window = field(default_factory=_Window)

    def observe(self, seconds: float, now: float) -> None:
        """Take in the time of a step."""
        if self.is_stale(now):
            self.latency = seconds
            self._current = _Window()
        else:
            self.latency += _WEIGHT * (seconds - self.latency)
        self.normal += _LONG_WEIGHT * (seconds - (self.normal or seconds))
        self.normal = self.normal or seconds
        self.seen = now
        if now - self._current.began > WINDOW_SECONDS:
            self._previous = self._current
            self._current = _Window(now)
        self._current.add(seconds)

    def expect(self, usual: float, now: float) -> float:
        """Expect a latency; old knowledge fades towards what is usual.

        An engine that was slow would never be asked again, and so never be
        seen to have recovered. As the memory of it fades it is tried again.
        """
        if not self.seen:
            return usual
        kept = math.exp((self.seen - now) / FADE_SECONDS)
        return usual + (self.latency - usual) * kept

    def is_stale(self, now: float) -> bool:
        """Tell whether nothing was heard for a while."""
        return not self.seen or now - self.seen > STALE_SECONDS

    def is_slow(self, usual: float, now: float) -> bool:
        """Tell whether it is known just now to be slower than it should be.

        Slower than its peers, or than itself before: while all answers run
        on the nearest engine nothing is known of the others. And both by a
        factor and by a time that callers would feel: among steps of a
        millisecond any pause of a process is a large factor. And in two
        windows in a row: one pause makes all steps in flight late at once.
        """
        usual = min(usual or self.normal, self.normal or usual)
        least = max(SLOW_FACTOR * usual, usual + SLOW_SECONDS)
        windows = (self._previous, self._current)
        return not self.is_stale(now) and all(
            window.find_mean() > least for window in windows
        )


def find_typical_latency(paces: Iterable[LatencyTracker], now: float) -> float:
    """Find the latency that is usual among engines of one range.

    :returns: the median of what was heard just now, the lower of two; 0 if
        nothing was.
    """
    fresh = [pace.latency for pace in paces if not pace.is_stale(now)]
    return statistics.median_low(fresh) if fresh else 0


def estimate_cost(
    pace: LatencyTracker,
    usual: float,
    streams: int,
    waiting: float,
    rate: float,
    now: float,
) -> float:
    """Estimate the seconds that a step of a new stream will take.

    :param streams: streams of this node that run on the engine; they are
        known at once, while the engine's own report lags.
    :param waiting: positions queued, by the engine's last report.
    """
    latency = pace.expect(usual, now) or 1 / rate
    if streams and pace.seen and pace.is_stale(now):
        # One stream is there to find out whether the engine has recovered;
        # a second one would learn nothing more and be as slow.
        latency *= SLOW_FACTOR
    return latency * (1 + streams / _ROOM) + waiting / rate
