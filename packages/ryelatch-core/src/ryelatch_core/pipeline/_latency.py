"""Step latencies of engines as measured by a node, and the cost of a step."""

import math
import statistics
from collections.abc import Iterable
from dataclasses import dataclass, field

DECAY_SECONDS = 10.0
STALE_SECONDS = 3.0
MIN_SLOWDOWN_FACTOR = 4.0
MIN_SLOWDOWN_SECONDS = 0.02
WINDOW_SECONDS = 0.25
_SMOOTHING = 0.2
_LONG_TERM_SMOOTHING = 0.002
_STREAMS_FOR_DOUBLE_LATENCY = 64


@dataclass
class _Window:
    """Step durations within a short time window.

    :param started: monotonic seconds of the first receipt.
    :param total: sum of the durations, in seconds.
    """

    started: float = -math.inf
    total: float = 0
    steps: int = 0

    def add(self, seconds: float) -> None:
        """Add the duration of a step."""
        self.total += seconds
        self.steps += 1

    def find_mean(self) -> float:
        """Compute the mean duration in seconds; 0 if there were no steps."""
        return self.total / self.steps if self.steps else 0


@dataclass
class LatencyTracker:
    """Smoothed time between sending a step and receiving its receipt.

    It includes load that the engine's own reports do not show yet, and the
    delay of a slow link, which no engine reports.

    :param latency: moving average over the last few steps, in seconds.
    :param seen: monotonic seconds of the last receipt; 0 before the first.
    :param normal: moving average over hundreds of steps, in seconds.
    """

    latency: float = 0
    seen: float = 0
    normal: float = 0
    _current: _Window = field(default_factory=_Window)
    _previous: _Window = field(default_factory=_Window)

    def observe(self, seconds: float, now: float) -> None:
        """Record the duration of a step."""
        if self.is_stale(now):
            self.latency = seconds
            self._current = _Window()
        else:
            self.latency += _SMOOTHING * (seconds - self.latency)
        self.normal += _LONG_TERM_SMOOTHING * (
            seconds - (self.normal or seconds)
        )
        self.normal = self.normal or seconds
        self.seen = now
        if now - self._current.started > WINDOW_SECONDS:
            self._previous = self._current
            self._current = _Window(now)
        self._current.add(seconds)

    def expect(self, typical: float, now: float) -> float:
        """Predict the latency; an old value decays to the typical one.

        A slow engine gets no new steps, so its recovery would never be
        measured. The decay makes sure that it is tried again after a while.
        """
        if not self.seen:
            return typical
        remaining = math.exp((self.seen - now) / DECAY_SECONDS)
        return typical + (self.latency - typical) * remaining

    def is_stale(self, now: float) -> bool:
        """Return whether no receipt has arrived for a while."""
        return not self.seen or now - self.seen > STALE_SECONDS

    def is_slow(self, typical: float, now: float) -> bool:
        """Return whether recent steps were slower than they should be.

        They are compared with those of the engine's peers and with its own
        long-term average, because while all answers run on the nearest engine
        no recent latency of the others is known. The difference must be both
        a factor and a time that clients notice: beside steps of a millisecond
        any pause of a process is a large factor. It must show in two windows
        in a row, because a single pause delays all steps in flight at once.
        """
        typical = min(typical or self.normal, self.normal or typical)
        threshold = max(
            MIN_SLOWDOWN_FACTOR * typical, typical + MIN_SLOWDOWN_SECONDS
        )
        windows = (self._previous, self._current)
        return not self.is_stale(now) and all(
            window.find_mean() > threshold for window in windows
        )


def find_typical_latency(
    trackers: Iterable[LatencyTracker], now: float
) -> float:
    """Find the typical latency among engines that hold the same layers.

    :returns: low median of the latencies that are not stale, in seconds; 0 if
        all are stale.
    """
    recent = [
        tracker.latency for tracker in trackers if not tracker.is_stale(now)
    ]
    return statistics.median_low(recent) if recent else 0


def estimate_cost(
    tracker: LatencyTracker,
    typical: float,
    streams: int,
    waiting: float,
    rate: float,
    now: float,
) -> float:
    """Estimate the duration of a step of a new stream, in seconds.

    :param typical: typical latency among engines that hold the same layers,
        in seconds.
    :param streams: number of streams of this node on the engine; it is
        current, while the engine's own report is delayed.
    :param waiting: positions queued, by the engine's last report.
    :param rate: nominal positions per second of the engine.
    """
    latency = tracker.expect(typical, now) or 1 / rate
    if streams and tracker.seen and tracker.is_stale(now):
        # One stream is enough to find out whether the engine has recovered;
        # a second one would add no information and be just as slow.
        latency *= MIN_SLOWDOWN_FACTOR
    return (
        latency * (1 + streams / _STREAMS_FOR_DOUBLE_LATENCY) + waiting / rate
    )
