"""Requests wait only while a place is of use to them."""

import pytest

from core_admission import (
    get_path,
    keep_busy,
    list_granted,
    list_refused,
    make_controller,
    make_copy,
    make_request,
)
from ryelatch_core.admission import AdmissionController, Queued


@pytest.fixture
def controller() -> AdmissionController:
    """Make a controller of a full copy that frees ten places per second."""
    controller = make_controller(make_copy(0, 100))
    keep_busy(controller, get_path(0), 10)
    running = make_request('running')
    assert controller.reserve(running, get_path(0), 100)
    return controller


def test_wait_is_predicted(controller: AdmissionController) -> None:
    """The third request in the queue waits for about three places."""
    decided = [
        controller.enqueue(make_request(f'{number}'), 100)
        for number in range(3)
    ]
    waits = [
        decision.wait
        for decision in decided[-1]
        if isinstance(decision, Queued)
    ]
    assert waits == [pytest.approx(0.3, rel=0.1)]


def test_nobody_waits_for_a_place_that_is_late(
    controller: AdmissionController,
) -> None:
    """Places are expected for about twenty of thirty requests in time."""
    refused = [
        refusal.identity
        for number in range(30)
        for refusal in list_refused(
            controller.enqueue(make_request(f'{number}'), 100)
        )
    ]
    assert refused == [f'{number}' for number in range(30 - len(refused), 30)]
    assert 8 <= len(refused) <= 12


def test_refused_requests_do_not_count_as_waiting(
    controller: AdmissionController,
) -> None:
    """Places are freed more slowly than expected; eight wait before one.

    Once some of the eight are refused, the one that has more time is early
    enough.
    """
    for number in range(8):
        controller.enqueue(make_request(f'{number}', start_by=100.85), 100)
    patient = make_request('patient', start_by=101.5)
    controller.enqueue(patient, 100.001)
    refused = list_refused(controller.admit_waiting(100.5))
    assert len(refused) >= 5
    assert 'patient' in controller.queue


def test_place_is_not_granted_after_its_time(
    controller: AdmissionController,
) -> None:
    """No place is freed until a client's time is over."""
    controller.enqueue(make_request('late', start_by=100.4), 100)
    controller.enqueue(make_request('in-time', start_by=100.5), 100.1)
    controller.release('running', 100.5)
    decided = controller.admit_waiting(100.5)
    assert list_granted(decided) == ['in-time']
    assert [refusal.identity for refusal in list_refused(decided)] == ['late']


def test_client_without_further_try_may_wait(
    controller: AdmissionController,
) -> None:
    """Urgent requests took all places of late; two clients wait for one.

    The new one is told to come back, the retried one waits for its chance.
    """
    for number in range(10):
        controller.enqueue(make_request(f'urgent-{number}', tokens=0), 100)
    back = make_request('back', 1, retried=True, start_by=101)
    new = make_request('new', 1, start_by=101)
    assert not list_refused(controller.enqueue(back, 100))
    assert list_refused(controller.enqueue(new, 100))


def test_requests_wait_at_a_new_controller() -> None:
    """A node takes over the control of a full zone from one that was lost."""
    controller = make_controller(make_copy(0, 1000))
    for number in range(10):
        running = make_request(f'running-{number}')
        controller.restore(running, get_path(0), 100)
    waiting = make_request('waiting', start_by=100.4)
    assert not list_refused(controller.enqueue(waiting, 100))
    for number in range(2):
        controller.release(f'running-{number}', 100.1 + number / 10)
        decided = controller.admit_waiting(100.1 + number / 10)
        assert not list_refused(decided)
        next_one = make_request(f'{number}', start_by=100.6)
        decided = controller.enqueue(next_one, 100.15 + number / 10)
        assert not list_refused(decided)
