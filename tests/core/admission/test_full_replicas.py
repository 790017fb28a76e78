"""A zone whose replicas are nearly full gives out no place twice."""

from dataclasses import replace

from core_admission import (
    get_path,
    keep_busy,
    list_granted,
    list_refused,
    make_controller,
    make_copy,
    make_request,
)
from ryelatch_core.admission import EventSeconds


def test_slots_are_granted_once() -> None:
    """Nine requests wait for the three slots of replicas with free memory."""
    controller = make_controller(make_copy(0, 10_000, slots=3))
    keep_busy(controller, get_path(0), 10)
    granted = [
        identity
        for number in range(9)
        for identity in list_granted(
            controller.enqueue(make_request(f'{number}'), 100)
        )
    ]
    assert granted == ['0', '1', '2']
    assert not controller.reserve(
        make_request('chosen', tokens=1), get_path(0), 100
    )


def test_late_first_replica_is_granted_once() -> None:
    """Three prompts wait at the only first replica, each for 0.1 s."""
    controller = make_controller(make_copy(0, 10_000))
    keep_busy(controller, get_path(0), 10)
    for number in range(30):
        running = make_request(f'running-{number}')
        controller.restore(running, get_path(0), 100)
        controller.record_delay(f'running-{number}', 0.1, begun=True)
    for number in range(3):
        waiting = make_request(f'reading-{number}')
        controller.restore(waiting, get_path(0), 100)
    granted = [
        identity
        for number in range(9)
        for identity in list_granted(
            controller.enqueue(
                replace(make_request(f'{number}'), patience=0.55), 100
            )
        )
    ]
    assert granted == ['0', '1']


def test_burst_waits_for_first_replicas() -> None:
    """Thirty requests come to an idle zone, which has freed no place of late.

    Its only first replica reads a prompt in 0.05 s, and six are in time.
    """
    controller = make_controller(make_copy(0, 10_000))
    controller.restore(make_request('earlier'), get_path(0), 50)
    controller.release('earlier', 60)
    decided = [
        decision
        for number in range(30)
        for decision in controller.enqueue(
            replace(make_request(f'{number}', start_by=100.5), patience=0.31),
            100,
        )
    ]
    assert len(list_granted(decided)) == 6
    assert len(controller.queue) == 10
    assert len(list_refused(decided)) == 14


def test_small_request_overtakes_a_large_one() -> None:
    """A large request finds no room for a second; small ones would.

    Room is kept for it from the middle of its time on.
    """
    controller = make_controller(make_copy(0, 1000))
    keep_busy(controller, get_path(0), 10)
    running = make_request('running', tokens=600)
    assert controller.reserve(running, get_path(0), 100)
    large = make_request('large', tokens=500, start_by=101)
    assert not list_granted(controller.enqueue(large, 100))
    early = controller.enqueue(make_request('early', tokens=100), 100.4)
    assert list_granted(early) == ['early']
    controller.place('early', get_path(0), 100.4)
    late = controller.enqueue(make_request('late', tokens=100), 100.6)
    assert not list_granted(late)
    controller.release('running', 100.7)
    assert list_granted(controller.admit_waiting(100.7))[0] == 'large'


def test_slow_replicas_are_granted_once() -> None:
    """Each request slows its replicas by 0.01 s; six may pass through."""
    capacities = [
        replace(capacity, event_seconds=EventSeconds(0.04, 0.01, 0))
        for capacity in make_copy(0, 10_000)
    ]
    controller = make_controller(capacities)
    keep_busy(controller, get_path(0), 10)
    decided = [
        decision
        for number in range(9)
        for decision in controller.enqueue(
            replace(make_request(f'{number}'), gap=0.101), 100
        )
    ]
    assert list_granted(decided) == ['0', '1', '2', '3', '4', '5']
    assert len(controller.queue) == 3
