"""The pace of engines, and the cost of using them."""

from ryelatch_core.pipeline import LatencyTracker, estimate_cost, find_typical_latency

_STREAMS = 6


def _flow(pace: LatencyTracker, begin: float, end: float, seconds: float) -> None:
    """Let streams take steps on an engine, all at the same moments."""
    for step in range(1, round((end - begin) / seconds) + 1):
        for _ in range(_STREAMS):
            pace.observe(seconds, begin + step * seconds)


def test_slow_engine_is_left_and_tried_again() -> None:
    """A link to one engine becomes ten times slower for a while.

    New streams go elsewhere; as the memory of it fades, one is sent to find
    out, and only one until it has answered.
    """
    paces = [LatencyTracker(), LatencyTracker(), LatencyTracker()]
    for pace, latency in zip(paces, (0.01, 0.01, 0.1), strict=True):
        _flow(pace, 99, 100, latency)
    usual = find_typical_latency(paces, 100)
    assert usual == paces[0].latency
    assert paces[2].is_slow(usual, 100)
    assert not paces[0].is_slow(usual, 100)

    def cost(index: int, streams: int, now: float) -> float:
        return estimate_cost(paces[index], usual, streams, 0, 1000, now)

    assert cost(2, 0, 101) > cost(0, 100, 101)
    paces[0].observe(0.01, 140)
    assert cost(2, 0, 140) < cost(0, 40, 140)
    assert cost(2, 1, 140) > cost(0, 40, 140)


def test_one_pause_is_no_crawl() -> None:
    """A node or an engine stands still for a moment; all steps come late."""
    pace = LatencyTracker()
    _flow(pace, 100, 101, 0.004)
    _flow(pace, 101, 101.15, 0.15)
    assert not pace.is_slow(0.004, 101.15)
    _flow(pace, 101.15, 101.6, 0.004)
    assert not pace.is_slow(0.004, 101.6)
    _flow(pace, 101.6, 101.85, 0.25)
    assert not pace.is_slow(0.004, 101.85)


def test_first_steps_in_a_pause_are_no_crawl() -> None:
    """Streams begin on an engine as it stands still for a moment."""
    pace = LatencyTracker()
    _flow(pace, 100, 100.15, 0.15)
    assert not pace.is_slow(0.004, 100.15)


def test_old_crawl_and_a_pause_are_no_crawl() -> None:
    """An engine that crawled long ago stands still for a moment."""
    pace = LatencyTracker()
    _flow(pace, 90, 91, 0.1)
    _flow(pace, 100, 100.15, 0.15)
    assert not pace.is_slow(0.004, 100.15)


def test_crawl_is_seen_within_a_second() -> None:
    """All steps of an engine take twenty-five times as long from a moment."""
    pace = LatencyTracker()
    _flow(pace, 100, 101, 0.004)
    _flow(pace, 101, 102, 0.1)
    assert pace.is_slow(0.004, 102)


def test_pace_of_two_is_that_of_the_faster() -> None:
    paces = [LatencyTracker(0.01, 10), LatencyTracker(0.2, 10), LatencyTracker(9, 1)]
    assert find_typical_latency(paces, 11) == paces[0].latency


def test_streams_spread_over_equal_engines() -> None:
    even = LatencyTracker(0.01, 10)
    costs = [
        estimate_cost(even, 0.01, streams, 0, 1000, 10) for streams in range(4)
    ]
    assert costs == sorted(costs)


def test_own_dispatches_count_before_reports_do() -> None:
    """The engine's report of its queue lags; own streams are known."""
    pace = LatencyTracker()
    assert estimate_cost(pace, 0, 5, 0, 100, 10) > estimate_cost(
        pace, 0, 0, 0, 100, 10
    )


def test_only_engine_in_use_becomes_slow() -> None:
    """All answers run on the nearest engine, and its link degrades.

    Of its peer nothing is known just now, so the slow engine would be what
    is usual; it is held against its own past.
    """
    pace = LatencyTracker()
    for step in range(500):
        pace.observe(0.003, 100 + step / 100)
    for step in range(30):
        pace.observe(0.1, 105 + step / 10)
    usual = find_typical_latency([pace, LatencyTracker()], 108)
    assert usual == pace.latency
    assert pace.is_slow(usual, 108)
