"""The soak's checks find what they are there for."""

import asyncio
import random
from collections.abc import Callable

import pytest
from multidict import CIMultiDict

from fleet.running import KEY, make_event_stream
from soak.checks import check_recovery, list_violations
from soak.clients import Attempt, Clients
from soak.world import EVENTS, SPARE_KEY, World
from standins.objects import ObjectStore
from standins.replica import ReplicaStandIn, Run

_Spoil = Callable[[World, Attempt], object]


def _make_run(attempt: Attempt) -> Run:
    account = attempt.key.removesuffix('-key')
    headers = CIMultiDict({'X-Ryelatch-Tenant': account})
    return Run(attempt.identity, headers, f'/{attempt.kind}/x', b'', at=1)


async def _play(kind: str, spoil: _Spoil) -> list[str]:
    """Make a world in which one request went well, and spoil it."""
    world = World(random.Random(1), ObjectStore())
    replica = ReplicaStandIn('b-0', 'booking')
    world.replicas.append(replica)
    body = make_event_stream(EVENTS) if kind == 'plan' else b'answer of b-0'
    attempt = Attempt('r-1', kind, KEY, 1, 200, True, 'signed-b-0', body)
    replica.runs.append(_make_run(attempt))
    clients = Clients(world, [attempt])
    assert not list_violations(world, clients, [])
    spoil(world, attempt)
    return list_violations(world, clients, [])


def _run_again(world: World, attempt: Attempt) -> None:
    world.replicas[0].runs.append(_make_run(attempt))


def _refuse(world: World, attempt: Attempt) -> None:
    attempt.status, attempt.signature = 503, ''


def _rename(world: World, attempt: Attempt) -> None:
    world.replicas[0].runs[0].headers['X-Ryelatch-Tenant'] = 'other'


def _revoke(world: World, attempt: Attempt) -> None:
    world.revoked = -10.0
    attempt.key = SPARE_KEY
    world.replicas[0].runs[0] = _make_run(attempt)


def _leave(world: World, attempt: Attempt) -> None:
    world.leaving['b-0'] = -10.0


def _cut(world: World, attempt: Attempt) -> None:
    attempt.body = attempt.body[:-5]


def _forget(world: World, attempt: Attempt) -> None:
    attempt.identity = 'r-2'


@pytest.mark.parametrize(
    ('kind', 'spoil', 'told'),
    [
        ('book', _run_again, 'ran 2 times'),
        ('book', _refuse, 'said not to have run'),
        ('book', _rename, 'for other'),
        ('book', _forget, 'nobody asked'),
        ('ping', _cut, 'wrong answer'),
        ('plan', _cut, 'wrong answer'),
        ('plan', _revoke, 'after its key was taken away'),
        ('plan', _leave, 'was leaving'),
    ],
)
async def test_broken_promise_is_found(
    kind: str, spoil: _Spoil, told: str
) -> None:
    found = await _play(kind, spoil)
    assert any(told in line for line in found)


async def test_missing_recovery_is_found() -> None:
    now = asyncio.get_running_loop().time()
    calm = [Attempt(f'r-{one}', 'ping', KEY, now) for one in range(10)]
    assert list(check_recovery(calm))
