"""A request that asks more than once has one turn and one place."""

from core_admission import (
    get_path,
    keep_busy,
    list_granted,
    make_controller,
    make_copy,
    make_request,
)
from ryelatch_core.admission import AdmissionController


def _make_full() -> AdmissionController:
    controller = make_controller(make_copy(0, 100))
    keep_busy(controller, get_path(0), 10)
    assert controller.reserve(make_request('running'), get_path(0), 100)
    return controller


def test_repeated_request_keeps_its_turn() -> None:
    """A node sends a request again after its connection broke."""
    controller = _make_full()
    controller.enqueue(make_request('first'), 100)
    controller.enqueue(make_request('second'), 100.1)
    controller.enqueue(make_request('first'), 100.2)
    assert len(controller.queue) == 2
    controller.release('running', 100.3)
    assert list_granted(controller.admit_waiting(100.3)) == ['first']


def test_repeated_request_keeps_its_place() -> None:
    """The answer to a node was lost with its connection."""
    controller = _make_full()
    controller.release('running', 100)
    request = make_request('granted')
    assert list_granted(controller.enqueue(request, 100))
    assert list_granted(controller.enqueue(request, 100.1)) == ['granted']
    assert len(controller.ledger) == 1


def test_request_leaves_a_path_for_another() -> None:
    """A replica refused a request, and its node asks for another path."""
    controller = make_controller(
        [*make_copy(0, 100), *make_copy(1, 100), *make_copy(2, 100)]
    )
    request = make_request('moved')
    assert controller.reserve(request, get_path(0), 100)
    controller.record_shortage('last-0', 100)
    assert controller.reserve(request, ('first-0', 'last-1'), 100)
    assert controller.ledger.tokens == {'first-0': 100, 'last-1': 100}
    assert list_granted(controller.enqueue(request, 100)) == ['moved']
    assert not controller.ledger.tokens


def test_request_in_progress_no_longer_waits() -> None:
    """A node reports a request as in progress that waits at a new zone."""
    controller = _make_full()
    request = make_request('restored')
    controller.enqueue(request, 100)
    controller.restore(request, get_path(0), 100)
    assert not controller.queue
    controller.release('restored', 100.1)
    controller.release('running', 100.1)
    assert not controller.admit_waiting(100.1)
    assert not controller.ledger


def test_request_of_a_gone_client_is_forgotten() -> None:
    """A client leaves while its request waits."""
    controller = _make_full()
    controller.enqueue(make_request('gone'), 100)
    controller.release('gone', 100.1)
    controller.release('running', 100.2)
    assert not controller.admit_waiting(100.2)
    assert not controller.ledger
