"""Requests that crash replicas are recognized and refused."""

import itertools
import random

import pytest

from ryelatch_core.eras import StoreRevision
from ryelatch_core.quarantine import (
    Crashes,
    CrashTracker,
    Fingerprint,
    RequestPhase,
    StoredCrashes,
    StoreWrite,
)
from ryelatch_core.quarantine._causes import (
    RETENTION_SECONDS,
    SETTLE_SECONDS,
)
from ryelatch_core.quarantine._cleared import CLEARED_SECONDS
from ryelatch_core.quarantine._tracker import (
    CLEANUP_DELAY_SECONDS,
    MAX_TRACKED_KEYS,
    REPORT_DELAY_SECONDS,
    REWRITE_SPREAD_SECONDS,
    SUSPECT_SECONDS,
    TRIAL_DELAYS_SECONDS,
)

_NOW = 100.0
_LATER = _NOW + SETTLE_SECONDS


def _make(jitter: float = 0.5) -> CrashTracker:
    return CrashTracker(jitter)


def _crash(
    tracker: CrashTracker, digest: str, *names: str, now: float = _NOW
) -> None:
    for name in names:
        tracker.record_crash(Fingerprint(digest), name, RequestPhase.BEGUN, now)


def _crash_waiting(tracker: CrashTracker, digest: str, *names: str) -> None:
    for name in names:
        tracker.record_crash(
            Fingerprint(digest), name, RequestPhase.WAITING, _NOW
        )


def _crash_streaming(
    tracker: CrashTracker, digest: str, *names: str, now: float = _NOW
) -> None:
    """Record crashes after two events of the request's answer."""
    for name in names:
        tracker.record_crash(
            Fingerprint(digest), name, RequestPhase.BEGUN, now, events=2
        )


def _at(number: int, era: int = 1) -> StoreRevision:
    return StoreRevision(era, number)


def _follow(write: StoreWrite, writes: int = 1) -> StoreRevision:
    """Return the revision after a write, or after some more."""
    assert write.revision is not None
    return _at(write.revision.number + writes)


def _store(
    digest: str, *begun: str, revision: int = 5, era: int = 1
) -> StoredCrashes:
    return StoredCrashes(digest, Crashes(frozenset(begun)), _at(revision, era))


def _refuses(tracker: CrashTracker, digest: str, now: float = _NOW) -> bool:
    tracker.evaluate(now)
    return tracker.find_refused(Fingerprint(digest)) is not None


def test_third_end_under_a_request_refuses_it() -> None:
    tracker = _make()
    _crash(tracker, 'a', 'r-1', 'r-2')
    assert not _refuses(tracker, 'a')
    _crash(tracker, 'a', 'r-3')
    assert _refuses(tracker, 'a')
    found = tracker.find_refused(Fingerprint('a'))
    assert found is not None
    assert found.crashes.incarnations == {'r-1', 'r-2', 'r-3'}
    assert not _refuses(tracker, 'b')


def test_one_end_counts_once() -> None:
    """Two copies of a request are lost when one replica crashes.

    Counted as two crashes, two losses would refuse a frequent request.
    """
    tracker = _make()
    _crash(tracker, 'a', 'r-1', 'r-1', 'r-2')
    tracker.put(_store('a', 'r-1', 'r-2'), _NOW)
    assert not _refuses(tracker, 'a', _LATER)


def test_ends_that_nodes_saw_are_added_up() -> None:
    """Each attempt of a client reaches another node, which sees one crash."""
    tracker = _make()
    _crash(tracker, 'a', 'r-1')
    tracker.put(_store('a', 'r-2', 'r-3'), _NOW)
    assert _refuses(tracker, 'a')


def test_lives_of_one_entry_count_each() -> None:
    """A replica restarts within seconds under its entry and crashes again."""
    tracker = _make()
    _crash(tracker, 'a', 'r-1+100', 'r-1+200', 'r-1+300')
    assert _refuses(tracker, 'a')


def test_cause_clears_those_that_waited() -> None:
    """Twenty requests wait at a replica when another request crashes it.

    All of them are resent to the same replica as the request that crashes it,
    three times within a second. None of the twenty is the cause.
    """
    tracker = _make()
    _crash_waiting(tracker, 'waiting', 'r-1', 'r-2', 'r-3')
    assert not _refuses(tracker, 'waiting')
    # The cause's node reports it before waiting requests are considered.
    tracker.put(_store('cause', 'r-1', 'r-2', 'r-3'), _NOW)
    assert not _refuses(tracker, 'waiting', _LATER)
    assert _refuses(tracker, 'cause')


def test_waiting_counts_less_than_begun() -> None:
    """At each crash another request had just begun to run.

    None of these has met three crashes, but each explains one crash better
    than a request that was still waiting at all of them.
    """
    tracker = _make()
    _crash_waiting(tracker, 'waiting', 'r-1', 'r-2', 'r-3')
    _crash(tracker, 'b', 'r-1')
    _crash(tracker, 'c', 'r-2')
    assert not _refuses(tracker, 'waiting', _LATER)
    _crash(tracker, 'a', 'r-4')
    _crash_waiting(tracker, 'waiting', 'r-5', 'r-6')
    assert _refuses(tracker, 'waiting', _LATER)


def test_unread_request_may_be_the_cause() -> None:
    """A prompt crashes the replicas that read it, before an answer begins."""
    tracker = _make()
    _crash_waiting(tracker, 'a', 'r-1', 'r-2', 'r-3')
    assert not _refuses(tracker, 'a')
    assert _refuses(tracker, 'a', _LATER)


def test_each_crash_does_not_put_off_the_next() -> None:
    """A request that crashes a replica twice a second is never refused."""
    tracker = _make()
    _crash_waiting(tracker, 'a', 'r-1', 'r-2', 'r-3')
    assert tracker.is_unsettled(Fingerprint('a'), _NOW)
    later = _NOW + SETTLE_SECONDS / 2
    tracker.record_crash(Fingerprint('a'), 'r-4', RequestPhase.WAITING, later)
    assert tracker.is_unsettled(Fingerprint('a'), later)
    assert _refuses(tracker, 'a', _LATER)


def test_passers_by_do_not_hide_the_cause() -> None:
    """At each crash other streams had just begun, as on any busy replica.

    Each of them met one crash, and the request that waited met all.
    """
    tracker = _make()
    for number in range(4):
        _crash_waiting(tracker, 'a', f'r-{number}')
        _crash(tracker, f'passer-{number}', f'r-{number}')
    assert not _refuses(tracker, 'a', _LATER)
    _crash_waiting(tracker, 'a', 'r-4')
    _crash(tracker, 'passer-4', 'r-4')
    assert _refuses(tracker, 'a', _LATER)
    assert not any(
        _refuses(tracker, f'passer-{number}', _LATER) for number in range(5)
    )


def test_cause_that_waits_explains_begun_streams() -> None:
    """A stream meets three crashes under a request that is refused by then.

    Copies of the request were under way. The stream had begun at its replicas,
    and the cause was waiting there.
    """
    tracker = _make()
    names = [f'r-{number}' for number in range(9)]
    _crash_waiting(tracker, 'cause', *names)
    _crash(tracker, 'stream', *names[6:])
    assert _refuses(tracker, 'cause', _LATER)
    assert not _refuses(tracker, 'stream', _LATER)


def test_cause_that_began_is_not_outweighed() -> None:
    """A popular request waits at each crash of a cause, and at two more."""
    tracker = _make()
    names = [f'r-{number}' for number in range(5)]
    _crash_waiting(tracker, 'popular', *names)
    _crash(tracker, 'cause', *names[:3])
    assert _refuses(tracker, 'cause', _LATER)
    assert not _refuses(tracker, 'popular', _LATER)


def test_crashes_in_waves_blame_no_request() -> None:
    """Replicas crash in waves whatever they run, and requests wait at some.

    Each request met three of twenty-one crashes, and explains none of the rest.
    """
    tracker = _make()
    source = random.Random(1)
    names = [f'r-{number}' for number in range(21)]
    keys = [f'request-{number}' for number in range(30)]
    for key in keys:
        _crash_waiting(tracker, key, *source.sample(names, 3))
    assert not any(_refuses(tracker, key, _LATER) for key in keys)


def test_request_that_ran_elsewhere_is_cleared() -> None:
    """A request meets two crashes by chance and is then answered.

    Long streams on preemptible VMs lose many replicas during a day.
    """
    tracker = _make()
    _crash(tracker, 'a', 'r-1', 'r-2')
    assert tracker.find_suspect(Fingerprint('a'), _NOW)
    tracker.record_run(Fingerprint('a'), _NOW)
    _crash(tracker, 'a', 'r-3', 'r-4', 'r-5', now=_NOW + CLEARED_SECONDS - 1)
    assert not _refuses(tracker, 'a', _NOW + CLEARED_SECONDS - 1)
    assert not tracker.find_suspect(Fingerprint('a'), _NOW)


def test_run_of_long_ago_clears_nothing() -> None:
    """An update makes replicas crash under a request that ran before."""
    tracker = _make()
    tracker.record_run(Fingerprint('a'), _NOW)
    later = _NOW + CLEARED_SECONDS
    _crash(tracker, 'a', 'r-1', 'r-2', 'r-3', now=later)
    assert _refuses(tracker, 'a', later)


def test_run_takes_back_what_others_told() -> None:
    tracker = _make()
    tracker.put(_store('a', 'r-1', 'r-2', revision=7), _NOW)
    tracker.record_run(Fingerprint('a'), _NOW)
    assert tracker.list_due_writes(_NOW) == [StoreWrite('a', None, _at(7))]


def test_first_end_is_told_after_a_while() -> None:
    """Most requests run on another replica at once and cost no store call."""
    tracker = _make(jitter=0.5)
    _crash(tracker, 'a', 'r-1')
    assert not tracker.list_due_writes(_NOW + REPORT_DELAY_SECONDS / 2)
    write = StoreWrite('a', Crashes(frozenset(('r-1',))), None)
    assert tracker.list_due_writes(_NOW + REPORT_DELAY_SECONDS) == [write]
    tracker.record_run(Fingerprint('a'), _NOW)
    assert not tracker.list_due_writes(_NOW + REPORT_DELAY_SECONDS)


def test_second_end_is_told_at_once() -> None:
    """The next attempt reaches another node, a second later."""
    tracker = _make()
    tracker.put(_store('a', 'r-1', revision=7), _NOW)
    _crash(tracker, 'a', 'r-2')
    write = StoreWrite('a', Crashes(frozenset(('r-1', 'r-2'))), _at(7))
    assert tracker.list_due_writes(_NOW) == [write]
    tracker.put(_store('a', 'r-1', 'r-2', revision=8), _NOW)
    assert not tracker.list_due_writes(_NOW)


def test_deleted_object_lets_a_request_in() -> None:
    tracker = _make()
    _crash(tracker, 'a', 'r-1', 'r-2')
    tracker.put(_store('a', 'r-1', 'r-2', 'r-3'), _NOW)
    assert _refuses(tracker, 'a')
    tracker.remove('a', _NOW)
    assert not _refuses(tracker, 'a')
    assert not tracker.list_due_writes(_NOW + RETENTION_SECONDS)


def test_what_the_store_lost_is_written_again() -> None:
    """The store is restored from an older copy, without the last objects.

    A refused request would crash three more replicas before it is refused
    again. Objects of requests that were only suspected are not rewritten.
    """
    tracker = _make(jitter=1)
    tracker.put(_store('a', 'r-1', 'r-2', 'r-3'), _NOW)
    tracker.put(_store('b', 'r-1'), _NOW)
    tracker.replace((), _NOW)
    assert _refuses(tracker, 'a')
    assert not tracker.list_due_writes(_NOW)
    lost = StoreWrite('a', Crashes(frozenset(('r-1', 'r-2', 'r-3'))), None)
    assert tracker.list_due_writes(_NOW + REWRITE_SPREAD_SECONDS) == [lost]
    tracker.put(_store('a', 'r-1', 'r-2', 'r-3', revision=2), _NOW)
    assert not tracker.list_due_writes(_NOW + REWRITE_SPREAD_SECONDS)


@pytest.mark.parametrize('trials', [0, 1])
def test_older_object_of_a_copy_is_completed(trials: int) -> None:
    """The store has an older object, and a refused request crashes others.

    It lacks crashes, or trials of which the fleet risks only two.
    """
    names = frozenset(('r-1', 'r-2', 'r-3'))
    known = Crashes(names, trials=trials)
    tracker = _make(jitter=1)
    tracker.put(StoredCrashes('a', known, _at(9)), _NOW)
    older = names if trials else names - {'r-3'}
    tracker.replace((_store('a', *older, revision=8, era=2),), _NOW)
    assert _refuses(tracker, 'a')
    assert not tracker.list_due_writes(_NOW)
    due = _NOW + REWRITE_SPREAD_SECONDS
    completed = StoreWrite('a', known, _at(8, era=2))
    assert tracker.list_due_writes(due) == [completed]
    later = _NOW + TRIAL_DELAYS_SECONDS[trials]
    write = tracker.find_trial(Fingerprint('a'), later)
    assert write is not None
    assert write.crashes == Crashes(names, trials=trials + 1)
    tracker.put(StoredCrashes('a', known, _at(9, era=2)), _NOW)
    assert not tracker.list_due_writes(due)


def test_own_ends_survive_a_new_list() -> None:
    tracker = _make()
    _crash(tracker, 'a', 'r-1')
    tracker.put(_store('a', 'r-1'), _NOW)
    tracker.replace((), _NOW)
    _crash(tracker, 'a', 'r-2', 'r-3')
    assert _refuses(tracker, 'a')


def test_older_revision_is_ignored() -> None:
    tracker = _make()
    tracker.put(_store('a', 'r-1', 'r-2', 'r-3', revision=9), _NOW)
    tracker.put(_store('a', 'r-1', revision=8), _NOW)
    assert _refuses(tracker, 'a')


def test_number_given_out_again_is_not_ignored() -> None:
    """A record is ignored as its number was used before, in another era."""
    tracker = _make()
    tracker.put(_store('a', 'r-1', revision=9), _NOW)
    tracker.put(_store('a', 'r-1', 'r-2', 'r-3', revision=8, era=2), _NOW)
    assert _refuses(tracker, 'a')
    tracker.put(_store('a', 'r-1', revision=10), _NOW)
    assert _refuses(tracker, 'a')


@pytest.mark.parametrize(
    ('names', 'lifetime'),
    [
        (('r-1',), SUSPECT_SECONDS),
        (('r-1', 'r-2', 'r-3'), RETENTION_SECONDS),
    ],
)
def test_ends_lapse(names: tuple[str, ...], lifetime: float) -> None:
    """A request that crashed replicas may run after their software is fixed."""
    tracker = _make()
    _crash(tracker, 'a', *names)
    tracker.put(_store('a', *names, revision=7), _NOW)
    assert not tracker.list_due_writes(_NOW + lifetime - 1)
    assert tracker.list_due_writes(_NOW + lifetime + 1) == [
        StoreWrite('a', None, _at(7))
    ]


def _claim_trial(tracker: CrashTracker, key: str, now: float) -> StoreWrite:
    """Claim a trial that is due, as the store then tells all nodes."""
    write = tracker.find_trial(Fingerprint(key), now)
    assert write is not None
    assert write.crashes is not None
    tracker.put(StoredCrashes(key, write.crashes, _follow(write)), now)
    return write


def test_refused_request_is_tried_again_later() -> None:
    """Replicas of a bad release crash one after the other, whatever they run.

    A request that met three of these crashes would be refused for good.
    """
    tracker = _make()
    tracker.put(_store('a', 'r-1', 'r-2', 'r-3'), _NOW)
    later = _NOW + TRIAL_DELAYS_SECONDS[0]
    assert tracker.find_trial(Fingerprint('a'), later - 1) is None
    claimed = _claim_trial(tracker, 'a', later)
    tracker.record_run(Fingerprint('a'), later)
    assert not _refuses(tracker, 'a', later)
    assert tracker.list_due_writes(later) == [
        StoreWrite('a', None, _follow(claimed))
    ]
    tracker.remove('a', later)
    _crash(tracker, 'a', 'r-4', now=later + CLEARED_SECONDS)
    assert not _refuses(tracker, 'a', later + CLEARED_SECONDS)


def test_fleet_risks_two_replicas_for_trials() -> None:
    """Each node tries a refused request, and each trial crashes a replica."""
    nodes = [_make(), _make()]
    now = _NOW
    for tracker in nodes:
        tracker.put(_store('a', 'r-1', 'r-2', 'r-3'), now)
    for number, delay in enumerate(TRIAL_DELAYS_SECONDS):
        now += delay
        write = _claim_trial(nodes[0], 'a', now)
        assert write.crashes is not None
        # The other node has not heard of it, so its write fails at the store.
        late = nodes[1].find_trial(Fingerprint('a'), now)
        assert late is not None
        assert late.revision == write.revision
        nodes[1].put(StoredCrashes('a', write.crashes, _follow(write)), now)
        crashed = write.crashes.add(f't-{number}', RequestPhase.BEGUN)
        for tracker in nodes:
            tracker.put(StoredCrashes('a', crashed, _follow(write, 2)), now)
            assert tracker.find_trial(Fingerprint('a'), now + 1) is None
    for tracker in nodes:
        later = now + RETENTION_SECONDS - 1
        assert _refuses(tracker, 'a', later)
        assert tracker.find_trial(Fingerprint('a'), later) is None


def test_only_what_is_stored_is_tried() -> None:
    """Nodes without the store each let a refused request in."""
    tracker = _make()
    _crash(tracker, 'a', 'r-1', 'r-2', 'r-3')
    later = _NOW + TRIAL_DELAYS_SECONDS[-1]
    assert _refuses(tracker, 'a', later)
    assert tracker.find_trial(Fingerprint('a'), later) is None


def test_one_of_many_explains_what_all_lost() -> None:
    """All replicas of a service crash under several frequent requests.

    All nodes would refuse all of these requests when the service is back.
    """
    tracker = _make()
    _crash(tracker, 'a', 'r-1', 'r-2', 'r-3', 'r-4')
    _crash(tracker, 'b', 'r-2', 'r-3', 'r-4')
    _crash(tracker, 'c', 'r-1', 'r-2', 'r-4', 'r-5')
    assert _refuses(tracker, 'a')
    assert not _refuses(tracker, 'b')
    assert not _refuses(tracker, 'c')


def test_several_causes_are_refused_each() -> None:
    """An account sends several requests that crash different replicas."""
    tracker = _make()
    _crash(tracker, 'a', 'r-1', 'r-2', 'r-3')
    _crash(tracker, 'b', 'r-4', 'r-5', 'r-6', 'r-3')
    _crash(tracker, 'c', 'r-7', 'r-8', 'r-9')
    assert set(tracker.refused) == {'b', 'c'}
    _crash(tracker, 'a', 'r-10')
    assert set(tracker.refused) == {'a', 'b', 'c'}


def test_object_of_a_lost_node_is_deleted() -> None:
    tracker = _make(jitter=0.5)
    tracker.put(_store('a', 'r-1', revision=7), _NOW)
    assert not tracker.list_due_writes(_NOW + SUSPECT_SECONDS + 1)
    later = _NOW + SUSPECT_SECONDS + CLEANUP_DELAY_SECONDS + 1
    assert tracker.list_due_writes(later) == [StoreWrite('a', None, _at(7))]


def test_suspects_are_bounded_and_refusals_kept() -> None:
    """An account sends a different request before each crash."""
    tracker = _make()
    _crash(tracker, 'refused', 'r-1', 'r-2', 'r-3')
    for number in range(MAX_TRACKED_KEYS + 10):
        _crash(tracker, f'other-{number}', 'r-1')
    assert len(tracker) == MAX_TRACKED_KEYS
    assert _refuses(tracker, 'refused')


def test_a_case_is_bounded() -> None:
    crashes = Crashes()
    for number in itertools.count():
        crashes = crashes.add(f'r-{number}', RequestPhase.BEGUN)
        if number > 100:
            break
    assert len(crashes.incarnations) < 20


@pytest.mark.parametrize('cause_first', [True, False])
@pytest.mark.parametrize('delay', [0, 0.5, 0.9])
def test_late_reports_show_the_cause(cause_first: bool, delay: float) -> None:
    """A node sees a harmless request at three crashes, and the cause at one.

    The other nodes' reports of the cause arrive within a second.
    """
    tracker = _make()
    steps = [
        lambda: _crash(tracker, 'cause', 'r-3'),
        lambda: _crash_streaming(tracker, 'harmless', 'r-3'),
    ]
    _crash_streaming(tracker, 'harmless', 'r-1', 'r-2')
    for step in steps if cause_first else reversed(steps):
        step()
    assert not _refuses(tracker, 'harmless')
    assert tracker.is_unsettled(Fingerprint('harmless'), _NOW + delay)
    tracker.put(_store('cause', 'r-1', 'r-2', 'r-3'), _NOW + delay)
    for seconds in (delay, SETTLE_SECONDS, 2 * SETTLE_SECONDS):
        assert not _refuses(tracker, 'harmless', _NOW + seconds)
        assert not tracker.is_unsettled(Fingerprint('harmless'), _NOW + seconds)
        assert _refuses(tracker, 'cause', _NOW + seconds)


def test_request_without_a_rival_is_not_held() -> None:
    """A request that crashed three replicas alone runs once more."""
    tracker = _make()
    _crash(tracker, 'cause', 'r-1', 'r-2', 'r-3')
    _crash_streaming(tracker, 'other', 'r-3')
    assert _refuses(tracker, 'cause')


def test_request_is_held_for_a_limited_time() -> None:
    """No report shows another cause, and the request would be held for good."""
    tracker = _make()
    _crash(tracker, 'other', 'r-3')
    _crash_streaming(tracker, 'cause', 'r-1', 'r-2', 'r-3')
    assert tracker.is_unsettled(Fingerprint('cause'), _LATER - 0.1)
    assert not tracker.is_unsettled(Fingerprint('cause'), _LATER)
    assert tracker.find_refused(Fingerprint('cause'))


@pytest.mark.parametrize('harmless', ['a', 'z'])
def test_equal_crashes_are_told_apart(harmless: str) -> None:
    """Two requests met the same crashes, and their digests decide.

    Only the answer of the harmless one had arrived in part.
    """
    tracker = _make()
    _crash(tracker, 'm', 'r-1', 'r-2', 'r-3')
    _crash_streaming(tracker, harmless, 'r-1', 'r-2', 'r-3')
    assert set(tracker.refused) == {'m'}


def test_second_copy_at_a_crash_is_no_other_crash() -> None:
    """Each copy that was lost with a replica defers the end of the suspicion.

    Of its answer more had arrived than of the first copy's.
    """
    tracker = _make()
    _crash(tracker, 'a', 'r-1')
    later = _NOW + SUSPECT_SECONDS / 2
    assert not tracker.record_crash(
        Fingerprint('a'), 'r-1', RequestPhase.BEGUN, later, 3
    )
    tracker.list_due_writes(_NOW + SUSPECT_SECONDS + 1)
    assert not len(tracker)


def test_held_cause_leaves_others_unsettled() -> None:
    """The cause's last report makes this node refuse the harmless request.

    For a moment both have three crashes, and neither is settled.
    """
    tracker = CrashTracker(0.5, same_crash_seconds=0.1)
    _crash(tracker, 'cause', 'r-3')
    _crash_streaming(tracker, 'harmless', 'r-1', 'r-2', 'r-3')
    later = _NOW + 0.7
    tracker.put(_store('cause', 'r-1', 'r-2', 'r-3'), later)
    assert not _refuses(tracker, 'harmless', later)
    later += 0.2
    assert _refuses(tracker, 'cause', later)
    assert not _refuses(tracker, 'harmless', later)


def test_requests_of_one_crash_are_judged_at_once() -> None:
    """The first request that is recorded of a crash is refused at once."""
    tracker = CrashTracker(0.5, same_crash_seconds=0.1)
    _crash(tracker, 'harmless', 'r-1', 'r-2', 'r-3')
    assert tracker.is_unsettled(Fingerprint('harmless'), _NOW)
    _crash(tracker, 'cause', 'r-3')
    tracker.put(_store('cause', 'r-1', 'r-2', 'r-3', 'r-4'), _NOW + 0.2)
    assert not _refuses(tracker, 'harmless', _LATER)
    assert _refuses(tracker, 'cause', _LATER)


def test_no_reports_need_more_crashes() -> None:
    """A harmless request is refused in an outage, by what one node has seen.

    It is held for a second, as its cause may be found out in that time. If it
    is the cause, five replicas crash under it at that node.
    """
    tracker = _make()
    tracker.set_informed(informed=False, now=_NOW - 1)
    _crash_streaming(tracker, 'a', 'r-1', 'r-2', 'r-3')
    assert tracker.is_unsettled(Fingerprint('a'), _LATER - 0.1)
    assert not tracker.is_unsettled(Fingerprint('a'), _LATER)
    assert not _refuses(tracker, 'a', _LATER)
    _crash_streaming(tracker, 'a', 'r-4', 'r-5', now=_LATER)
    assert _refuses(tracker, 'a', _LATER)


def test_reports_that_come_again_settle_a_request() -> None:
    """A request crashed replicas in an outage, and is never refused."""
    tracker = _make()
    tracker.set_informed(informed=False, now=_NOW - 1)
    _crash_streaming(tracker, 'a', 'r-1', 'r-2', 'r-3')
    tracker.set_informed(informed=True, now=_LATER)
    assert not _refuses(tracker, 'a', _LATER)
    assert _refuses(tracker, 'a', _LATER + SETTLE_SECONDS)


def test_unanswered_request_is_refused_in_outages() -> None:
    """In an outage, a request goes on to crash replicas as it begins."""
    tracker = _make()
    tracker.set_informed(informed=False, now=_NOW - 1)
    _crash(tracker, 'a', 'r-1', 'r-2', 'r-3')
    assert _refuses(tracker, 'a')
