"""Tests for the measured latency of engines and the estimated cost of steps."""

from ryelatch_core.pipeline import (
    LatencyTracker,
    estimate_cost,
    find_typical_latency,
)

_STREAMS = 6


def _record_steps(
    tracker: LatencyTracker, start: float, end: float, seconds: float
) -> None:
    """Record steps of several streams on an engine, all at the same times."""
    for step in range(1, round((end - start) / seconds) + 1):
        for _ in range(_STREAMS):
            tracker.observe(seconds, start + step * seconds)


def test_slow_engine_is_left_and_tried_again() -> None:
    """A link to one engine becomes ten times slower for a while.

    New streams avoid it until the measured latency has decayed. Then a single
    stream tries it, and no second one before a receipt has arrived.
    """
    trackers = [LatencyTracker(), LatencyTracker(), LatencyTracker()]
    for tracker, latency in zip(trackers, (0.01, 0.01, 0.1), strict=True):
        _record_steps(tracker, 99, 100, latency)
    typical = find_typical_latency(trackers, 100)
    assert typical == trackers[0].latency
    assert trackers[2].is_slow(typical, 100)
    assert not trackers[0].is_slow(typical, 100)

    def cost(index: int, streams: int, now: float) -> float:
        return estimate_cost(trackers[index], typical, streams, 0, 1000, now)

    assert cost(2, 0, 101) > cost(0, 100, 101)
    trackers[0].observe(0.01, 140)
    assert cost(2, 0, 140) < cost(0, 40, 140)
    assert cost(2, 1, 140) > cost(0, 40, 140)


def test_one_pause_is_no_crawl() -> None:
    """A node or an engine pauses for a moment, which delays all steps."""
    tracker = LatencyTracker()
    _record_steps(tracker, 100, 101, 0.004)
    _record_steps(tracker, 101, 101.15, 0.15)
    assert not tracker.is_slow(0.004, 101.15)
    _record_steps(tracker, 101.15, 101.6, 0.004)
    assert not tracker.is_slow(0.004, 101.6)
    _record_steps(tracker, 101.6, 101.85, 0.25)
    assert not tracker.is_slow(0.004, 101.85)


def test_first_steps_in_a_pause_are_no_crawl() -> None:
    """Streams start on an engine while it pauses for a moment."""
    tracker = LatencyTracker()
    _record_steps(tracker, 100, 100.15, 0.15)
    assert not tracker.is_slow(0.004, 100.15)


def test_old_crawl_and_a_pause_are_no_crawl() -> None:
    """An engine that was slow several seconds ago pauses for a moment."""
    tracker = LatencyTracker()
    _record_steps(tracker, 90, 91, 0.1)
    _record_steps(tracker, 100, 100.15, 0.15)
    assert not tracker.is_slow(0.004, 100.15)


def test_crawl_is_seen_within_a_second() -> None:
    """All steps of an engine suddenly take twenty-five times as long."""
    tracker = LatencyTracker()
    _record_steps(tracker, 100, 101, 0.004)
    _record_steps(tracker, 101, 102, 0.1)
    assert tracker.is_slow(0.004, 102)


def test_pace_of_two_is_that_of_the_faster() -> None:
    trackers = [
        LatencyTracker(0.01, 10),
        LatencyTracker(0.2, 10),
        LatencyTracker(9, 1),
    ]
    assert find_typical_latency(trackers, 11) == trackers[0].latency


def test_streams_spread_over_equal_engines() -> None:
    even = LatencyTracker(0.01, 10)
    costs = [
        estimate_cost(even, 0.01, streams, 0, 1000, 10) for streams in range(4)
    ]
    assert costs == sorted(costs)


def test_own_dispatches_count_before_reports_do() -> None:
    """The node's own streams count before the engine reports its queue."""
    tracker = LatencyTracker()
    assert estimate_cost(tracker, 0, 5, 0, 100, 10) > estimate_cost(
        tracker, 0, 0, 0, 100, 10
    )


def test_only_engine_in_use_becomes_slow() -> None:
    """All answers run on the nearest engine, and its link degrades.

    Its peer has no recent latency, so the slow engine alone would define the
    typical latency; it is compared with its own long-term average instead.
    """
    tracker = LatencyTracker()
    for step in range(500):
        tracker.observe(0.003, 100 + step / 100)
    for step in range(30):
        tracker.observe(0.1, 105 + step / 10)
    typical = find_typical_latency([tracker, LatencyTracker()], 108)
    assert typical == tracker.latency
    assert tracker.is_slow(typical, 108)
