"""When lost links are probed, and when they count as regained."""

from itertools import pairwise

import pytest

from ryelatch_core.links import MAX_PROBE_SECONDS, LinkGroup, LostLinks

_GROUP = LinkGroup('m', 'a')
_SOON = 0.5


def _play(lost: LostLinks, until: float, *, reached: bool) -> list[float]:
    """Probe whenever it is due; returns the times."""
    times = []
    while lost.find_next_probe() <= until:
        now = lost.find_next_probe()
        times.append(now)
        lost.record_probe(_GROUP, now, reached=reached)
    return times


def test_probes_become_rare_while_links_are_lost() -> None:
    """All nodes of a large fleet probe each group at a high rate for long."""
    lost = LostLinks()
    lost.add(_GROUP, 0, 0)
    times = _play(lost, 60, reached=False)
    assert times[0] <= _SOON
    longest = max(later - earlier for earlier, later in pairwise(times))
    assert round(longest, 3) <= MAX_PROBE_SECONDS
    assert len(times) <= 35


def test_links_that_come_and_go_stay_lost() -> None:
    """One successful probe sends callers back to links that fail again."""
    lost = LostLinks()
    lost.add(_GROUP, 0, 0)
    assert lost.record_probe(_GROUP, 1, reached=True) is None
    assert lost.record_probe(_GROUP, 1.2, reached=False) is None
    assert lost.groups == {_GROUP}


def test_links_are_regained_after_two_probes() -> None:
    lost = LostLinks()
    lost.add(_GROUP, 0.5, 1)
    assert lost.record_probe(_GROUP, 3, reached=True) is None
    assert lost.find_next_probe() <= 3 + _SOON
    regained = lost.record_probe(_GROUP, 3.2, reached=True)
    assert regained is not None
    assert regained.since == pytest.approx(0.5)
    assert not lost.groups


def test_groups_without_replicas_are_forgotten() -> None:
    lost = LostLinks()
    lost.add(_GROUP, 0, 0)
    lost.drop_missing([LinkGroup('m', 'b')])
    assert not lost.groups
