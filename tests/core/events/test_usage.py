"""Tests for the resource usage of a fleet, summed from log lines."""

from ryelatch_core.events import Line, UsageTracker, sum_usage


def _write(process: str, tracker: UsageTracker) -> Line:
    detail = {
        'life': tracker.incarnation,
        'counts': tracker.list_counts(),
        'seconds': tracker.list_seconds(),
    }
    return Line(1.0, process, 'node-costs', detail)


def test_time_of_a_block_is_added_to_its_activity() -> None:
    times = iter((10.0, 11.0, 11.5, 12.0, 14.0, 15.0))
    tracker = UsageTracker(lambda: next(times))
    for seconds in (1.0, 1.5):
        with tracker.measure_time('plan'):
            assert seconds
    assert tracker.list_seconds() == {'plan': 2.5, 'process': 5.0}


def test_last_line_of_each_life_counts() -> None:
    """A node is killed and restarted with the same name and new counts.

    Each line holds the totals of one run of the process. The sum would be
    wrong if a line were read as the increase since the line before, or if
    both runs were taken for one.
    """
    first, second = UsageTracker(), UsageTracker()
    first.count('store', 'servers', 'watch')
    lines = [_write('node-a', first)]
    first.count('store', 'servers', 'watch', number=4)
    lines.append(_write('node-a', first))
    second.count('store', 'servers', 'watch')
    lines.append(_write('node-a', second))
    found = sum_usage(lines)
    assert found.incarnations == 2
    assert found.counts == {'store/servers/watch': 6}


def test_other_lines_tell_no_costs() -> None:
    found = sum_usage([Line(1.0, 'node-a', 'node-started', {})])
    assert (found.incarnations, found.counts, found.seconds) == (0, {}, {})
