"""Tests that the checks of the soak find violations."""

import asyncio
import random
from collections.abc import Callable

import pytest
from multidict import CIMultiDict

from fleet.running import KEY, make_event_stream
from soak.checks import check_recovery, list_violations
from soak.clients import Attempt, Clients
from soak.world import SPARE_KEY, STREAM_EVENTS, World
from standins.objects import ObjectStore
from standins.replica import ReplicaStandIn, Run

_Violation = Callable[[World, Attempt], object]


def _make_run(attempt: Attempt) -> Run:
    account = attempt.key.removesuffix('-key')
    headers = CIMultiDict({'X-Ryelatch-Tenant': account})
    return Run(attempt.identity, headers, f'/{attempt.kind}/x', b'', at=1)


async def _find_violations(kind: str, violate: _Violation) -> list[str]:
    """Make a world with one correct request, and add a violation."""
    world = World(random.Random(1), ObjectStore())
    replica = ReplicaStandIn('b-0', 'booking')
    world.replicas.append(replica)
    body = (
        make_event_stream(STREAM_EVENTS) if kind == 'plan' else b'answer of b-0'
    )
    attempt = Attempt('r-1', kind, KEY, 1, 200, True, 'signed-b-0', body)
    replica.runs.append(_make_run(attempt))
    clients = Clients(world, [attempt])
    assert not list_violations(world, clients, [])
    violate(world, attempt)
    return list_violations(world, clients, [])


def _run_again(world: World, attempt: Attempt) -> None:
    world.replicas[0].runs.append(_make_run(attempt))


def _refuse(world: World, attempt: Attempt) -> None:
    attempt.status, attempt.signature = 503, ''


def _rename(world: World, attempt: Attempt) -> None:
    world.replicas[0].runs[0].headers['X-Ryelatch-Tenant'] = 'other'


def _revoke(world: World, attempt: Attempt) -> None:
    world.revoked_at = -10.0
    attempt.key = SPARE_KEY
    world.replicas[0].runs[0] = _make_run(attempt)


def _leave(world: World, attempt: Attempt) -> None:
    world.leaving_since['b-0'] = -10.0


def _cut(world: World, attempt: Attempt) -> None:
    attempt.body = attempt.body[:-5]


def _forget(world: World, attempt: Attempt) -> None:
    attempt.identity = 'r-2'


@pytest.mark.parametrize(
    ('kind', 'violate', 'expected_text'),
    [
        ('book', _run_again, 'ran 2 times'),
        ('book', _refuse, 'said not to have run'),
        ('ping', _refuse, 'said not to have run'),
        ('plan', _refuse, 'said not to have run'),
        ('book', _rename, 'for other'),
        ('book', _forget, 'nobody asked'),
        ('ping', _cut, 'wrong answer'),
        ('plan', _cut, 'wrong answer'),
        ('plan', _revoke, 'after its key was taken away'),
        ('plan', _leave, 'was leaving'),
    ],
)
async def test_broken_promise_is_found(
    kind: str, violate: _Violation, expected_text: str
) -> None:
    violations = await _find_violations(kind, violate)
    assert any(expected_text in line for line in violations)


async def test_missing_recovery_is_found() -> None:
    now = asyncio.get_running_loop().time()
    recovery_attempts = [
        Attempt(f'r-{number}', 'ping', KEY, now) for number in range(10)
    ]
    assert list(check_recovery(recovery_attempts))
