"""A zone that loses its replicas tells all that wait when to come back."""

import random
from dataclasses import replace

from core_admission import (
    get_path,
    keep_busy,
    list_granted,
    list_refused,
    make_controller,
    make_copy,
    make_request,
    update,
)
from core_fleet import TYPICAL_MODEL, make_replica
from ryelatch_core.admission import AdmissionController, measure_capacities


def test_waiting_requests_are_refused_at_once() -> None:
    """A busy zone loses all its replicas while fifteen requests wait."""
    controller = make_controller(make_copy(0, 100))
    keep_busy(controller, get_path(0), 10)
    assert controller.reserve(make_request('running'), get_path(0), 100)
    for number in range(15):
        request = make_request(f'{number}', start_by=110)
        assert not list_refused(controller.enqueue(request, 100))
    update(controller, [])
    refused = list_refused(controller.admit_waiting(100.1))
    assert len(refused) == 15
    assert all(1 <= refusal.retry_after <= 20 / 3 for refusal in refused)
    assert not controller.queue


def test_requests_wait_for_the_first_list() -> None:
    """A node that has just started is asked before it knows the replicas."""
    controller = AdmissionController(random.Random(1).random)
    controller.update({}, 0)
    early = make_request('early', start_by=103)
    assert not list_refused(controller.enqueue(early, 100))
    update(controller, make_copy(0, 100))
    assert list_granted(controller.admit_waiting(100.5)) == ['early']


def test_missing_layers_count_as_a_lost_zone() -> None:
    """The replicas of the last layers are lost, those of the first remain."""
    controller = make_controller(make_copy(0, 100))
    keep_busy(controller, get_path(0), 10)
    update(controller, make_copy(0, 100)[:1])
    request = make_request('late', start_by=110)
    assert list_refused(controller.enqueue(request, 100))


def test_too_large_request_holds_nobody_up() -> None:
    """A request is larger than any replica; smaller ones come after it."""
    controller = make_controller(make_copy(0, 500))
    keep_busy(controller, get_path(0), 10)
    decided = [
        *controller.enqueue(make_request('large', tokens=501), 100),
        *controller.enqueue(make_request('small', tokens=500), 100),
    ]
    assert [refusal.identity for refusal in list_refused(decided)] == ['large']
    assert list_granted(decided) == ['small']


def test_delay_is_never_negative() -> None:
    """A refusal comes after its client has left."""
    controller = make_controller([])
    refused = list_refused(controller.enqueue(make_request('gone'), 121))
    assert refused[0].retry_after >= 0


def test_reservations_outlive_their_replicas() -> None:
    """A replica vanishes with its requests, and is listed again."""
    controller = make_controller([*make_copy(0, 100), *make_copy(1, 100)])
    assert controller.reserve(make_request('running'), get_path(0), 100)
    update(controller, make_copy(1, 100))
    assert controller.reserve(make_request('other'), get_path(1), 100)
    update(controller, make_copy(0, 100))
    assert not controller.reserve(make_request('next'), get_path(0), 100)
    controller.release('running', 100)
    assert controller.reserve(make_request('next'), get_path(0), 100)


def test_only_serving_replicas_have_capacity() -> None:
    """A replica is leaving, one is loading, one is of an unknown kind."""
    replicas = [
        make_replica('holding', 0, 20),
        replace(make_replica('leaving', 0, 20), leaving=True),
        replace(make_replica('loading', 0, 20), layers=None),
        make_replica('unknown', 0, 20, kind='unheard-of'),
    ]
    assert [*measure_capacities(replicas, TYPICAL_MODEL)] == ['holding']
