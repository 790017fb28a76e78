"""Replicas, requests and controllers for tests of admission."""

import random
from collections.abc import Iterable
from typing import TypeAlias

from ryelatch_core.admission import (
    AdmissionController,
    Granted,
    Queued,
    Refused,
    ReplicaCapacity,
    ReservationRequest,
)
from ryelatch_core.fleet import LayerRange

LAYERS = 32

Decision: TypeAlias = Granted | Queued | Refused


def make_copy(
    number: int, tokens: float, slots: int = 100, version: int = 0
) -> list[ReplicaCapacity]:
    """Make the two replicas that hold a copy of the model."""
    return [
        ReplicaCapacity(
            f'first-{number}', LayerRange(0, 16), tokens, slots, version
        ),
        ReplicaCapacity(
            f'last-{number}', LayerRange(16, LAYERS), tokens, slots, version
        ),
    ]


def get_path(number: int) -> tuple[str, ...]:
    """Return the path through a copy."""
    return (f'first-{number}', f'last-{number}')


def update(
    controller: AdmissionController, capacities: Iterable[ReplicaCapacity]
) -> None:
    """Tell a controller what the replicas hold."""
    by_name = {capacity.name: capacity for capacity in capacities}
    controller.update(by_name, LAYERS)


def make_controller(
    capacities: Iterable[ReplicaCapacity],
) -> AdmissionController:
    """Make a controller over some replicas."""
    controller = AdmissionController(random.Random(1).random)
    update(controller, capacities)
    return controller


def make_request(
    identity: str,
    priority: int = 0,
    account: str = 'shop',
    *,
    tokens: int = 100,
    retried: bool = False,
    start_by: float = 102,
    expires: float = 120,
) -> ReservationRequest:
    """Make a request of a client that waits from second 100 on."""
    return ReservationRequest(
        identity, priority, account, tokens, retried, start_by, expires
    )


def keep_busy(
    controller: AdmissionController, path: tuple[str, ...], rate: float
) -> None:
    """Let requests of ten tokens begin and end up to second 100.

    :param rate: places per second that they free.
    """
    for number in range(int(5 * rate)):
        now = 95 + number / rate
        request = make_request(f'past-{number}', tokens=10)
        controller.restore(request, path, now)
        controller.release(request.identity, now)


def list_granted(decided: Iterable[Decision]) -> list[str]:
    """List the requests that got a place."""
    return [
        decision.identity
        for decision in decided
        if isinstance(decision, Granted)
    ]


def list_refused(decided: Iterable[Decision]) -> list[Refused]:
    """List the refusals."""
    return [decision for decision in decided if isinstance(decision, Refused)]
