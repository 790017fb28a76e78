"""Tests for events and their order across processes."""

from ryelatch_core.events import (
    HybridClock,
    Stamp,
    Timeline,
    catalogue,
    list_kinds,
    merge_events,
)


class FixedClock:
    """A clock that shows a fixed time."""

    def __init__(self, now: float) -> None:
        self.now = now

    def wall(self) -> float:
        """Seconds since the epoch."""
        return self.now

    def monotonic(self) -> float:
        """Seconds that never decrease."""
        return self.now


def test_numbers_and_names_are_unique() -> None:
    kinds = list_kinds()
    assert len({kind.number for kind in kinds}) == len(kinds)
    assert len({kind.name for kind in kinds}) == len(kinds)


def test_effect_follows_cause_despite_clocks() -> None:
    """Node b, with a clock two seconds behind, reacts to a message of node a.

    By wall clocks the effect would be ordered before its cause; the hybrid
    clock takes node a's stamp into account.
    """
    ahead = HybridClock(FixedClock(102))
    behind = HybridClock(FixedClock(100))
    first = Timeline('node-a', ahead)
    second = Timeline('node-b', behind)
    first.record(catalogue.SETTINGS_APPLIED, revision=2)
    behind.observe(ahead.stamp())
    second.record(catalogue.SETTINGS_APPLIED, revision=2)
    merged = merge_events([second.list_events(), first.list_events()])
    assert [event.process for event in merged] == ['node-a', 'node-b']


def test_stamps_grow_while_the_clock_stands() -> None:
    clock = HybridClock(FixedClock(1))
    assert [clock.stamp() for _ in range(2)] == [
        Stamp(1000, 0),
        Stamp(1000, 1),
    ]


def test_events_are_found_by_field() -> None:
    timeline = Timeline('node-a', HybridClock(FixedClock(1)))
    timeline.record(catalogue.CLAIM_MADE, key='a')
    timeline.record(catalogue.CLAIM_MADE, key='b')
    assert len(timeline.list_events(key='a')) == 1
    assert timeline.counts['claim-made'] == 2
