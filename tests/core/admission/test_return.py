"""Many clients are refused at once, and come back at once."""

import itertools

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
from core_admission_load import ROOM, LoadedZone, Source
from ryelatch_core.admission import AdmissionController


@pytest.fixture
def controller() -> AdmissionController:
    """Make a controller of a full copy that frees twenty places a second."""
    controller = make_controller(make_copy(0, 100))
    keep_busy(controller, get_path(0), 20)
    running = make_request('running')
    assert controller.reserve(running, get_path(0), 100)
    return controller


def _refuse(
    controller: AdmissionController, priority: int, number: int
) -> list[float]:
    """Let requests be refused, and return when their clients come back."""
    return [
        refusal.retry_after
        for index in range(number)
        for refusal in list_refused(
            controller.enqueue(
                make_request(f'{priority}-{index}', priority, start_by=100),
                100,
            )
        )
    ]


def test_times_are_promised_once(controller: AdmissionController) -> None:
    """Each of the first clients gets a time of its own, later than the last."""
    delays = _refuse(controller, 0, 100)
    assert len(delays) == 100
    longest = 20 / 3
    assert min(delays) >= 1
    assert max(delays) <= longest
    own = [delay for delay in delays if delay < 0.7 * longest]
    assert own == sorted(set(own))
    assert len(own) >= 2


def test_late_times_are_spread(controller: AdmissionController) -> None:
    """Clients for whom no place is left in time don't come back together."""
    delays = sorted(_refuse(controller, 0, 100)[-50:])
    gaps = [later - earlier for earlier, later in itertools.pairwise(delays)]
    assert max(gaps) * 2 < 1
    assert delays[-1] - delays[0] >= 1


def test_more_urgent_clients_come_back_sooner(
    controller: AdmissionController,
) -> None:
    """Many less urgent clients were refused before a more urgent one."""
    least = _refuse(controller, 2, 30)
    urgent = _refuse(controller, 0, 1)
    assert urgent[0] < sorted(least)[1]


def test_returning_request_goes_before_new_ones(
    controller: AdmissionController,
) -> None:
    """A client comes back while new requests of its priority wait."""
    controller.enqueue(make_request('new'), 100)
    controller.enqueue(make_request('back', retried=True), 100.1)
    controller.enqueue(make_request('urgent', tokens=50), 100.2)
    assert not controller.reserve(make_request('newer'), get_path(0), 100.2)
    controller.release('running', 100.2)
    assert list_granted(controller.admit_waiting(100.2)) == ['back']


@pytest.mark.parametrize('seed', range(3))
def test_returning_clients_are_not_refused_again(seed: int) -> None:
    """A surge of all requests is over when most of its clients come back."""
    sources = [
        Source(0.35 * ROOM, priority, f'{account}', factor=2.5)
        for priority, account in ((0, 'a'), (1, 'b'))
    ]
    zone = LoadedZone(sources, (20, 24), seed)
    zone.run(40)
    refused = [outcome for outcome in zone.outcomes if outcome.refused_at]
    again = [outcome for outcome in refused if len(outcome.refused_at) > 1]
    assert len(refused) >= 20
    assert len(again) * 20 <= len(refused)
