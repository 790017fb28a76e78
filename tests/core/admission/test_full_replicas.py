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
