"""Places that nobody takes up, and those whose requests are lost, lapse."""

import pytest

from core_admission import (
    get_path,
    keep_busy,
    list_granted,
    make_controller,
    make_copy,
    make_request,
)
from ryelatch_core.admission import AdmissionController, ReservationLedger


@pytest.fixture
def controller() -> AdmissionController:
    """Make a controller of a busy copy that has room for one request."""
    controller = make_controller(make_copy(0, 100))
    keep_busy(controller, get_path(0), 10)
    return controller


def test_place_of_a_lost_node_goes_to_the_next(
    controller: AdmissionController,
) -> None:
    """A node is lost after its request got a place."""
    assert list_granted(controller.enqueue(make_request('lost'), 100))
    assert not list_granted(controller.enqueue(make_request('next'), 100))
    assert not list_granted(controller.admit_waiting(100.29))
    assert list_granted(controller.admit_waiting(100.3)) == ['next']


def test_late_path_is_recorded(controller: AdmissionController) -> None:
    """A node is paused between getting a place and sending its request."""
    controller.enqueue(make_request('paused'), 100)
    controller.admit_waiting(101)
    controller.place('paused', get_path(0), 101.1)
    assert controller.ledger.tokens['first-0'] == 100
    assert not list_granted(controller.enqueue(make_request('next'), 101.2))
    controller.release('paused', 101.3)
    assert list_granted(controller.admit_waiting(101.3)) == ['next']


def test_late_path_of_an_ended_request_is_ignored(
    controller: AdmissionController,
) -> None:
    """A message about a request comes after the one about its end."""
    controller.enqueue(make_request('ended'), 100)
    controller.admit_waiting(101)
    controller.release('ended', 101)
    controller.place('ended', get_path(0), 101)
    assert not controller.ledger.tokens


def test_place_ends_with_its_client(controller: AdmissionController) -> None:
    """A node is lost while its request is in progress."""
    request = make_request('lost', expires=101)
    assert controller.reserve(request, get_path(0), 100)
    controller.enqueue(make_request('next'), 100)
    assert not list_granted(controller.admit_waiting(100.9))
    assert list_granted(controller.admit_waiting(101)) == ['next']


def test_sums_return_to_nothing() -> None:
    """Requests are added, placed, moved and removed in any order."""
    ledger = ReservationLedger()
    for number in range(20):
        request = make_request(f'{number}', account=f'{number % 3}')
        ledger.add(request, get_path(0) if number % 2 else (), 100)
        ledger.place(request.identity, get_path(number % 4), 100.1)
        ledger.add(request, get_path(1) if number % 5 else (), 100.2)
    assert ledger.account_tokens.total() == 2000
    assert ledger.expire(100.5) == 4
    assert ledger.expire(120) == 16
    sums = (ledger.tokens, ledger.requests, ledger.entries)
    assert not any(sums)
    assert not ledger.account_tokens
    assert not ledger.unplaced
    assert not ledger.unplaced_tokens
    assert not ledger
