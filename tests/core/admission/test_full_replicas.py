"""A zone whose replicas are nearly full gives out no place twice."""

from core_admission import (
    get_path,
    keep_busy,
    list_granted,
    make_controller,
    make_copy,
    make_request,
)


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


def test_window_is_granted_once() -> None:
    """First events come late at the only first replica, as ten run there."""
    controller = make_controller(make_copy(0, 10_000))
    keep_busy(controller, get_path(0), 10)
    for number in range(10):
        running = make_request(f'running-{number}')
        assert controller.reserve(running, get_path(0), 100)
    controller.record_first_event('running-0', 0.4, 0.5, 100)
    for number in range(5):
        controller.release(f'running-{number}', 100)
    granted = [
        identity
        for number in range(9)
        for identity in list_granted(
            controller.enqueue(make_request(f'{number}'), 100)
        )
    ]
    assert granted == ['0', '1', '2', '3']
