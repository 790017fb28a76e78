"""Tests that unfinished streams are found, and what excuses them."""

import math
import os
import random
from collections.abc import Callable
from pathlib import Path

import pytest
from multidict import CIMultiDict

from fleet.running import KEY, make_event_stream
from soak.clients import Attempt, Clients
from soak.lateness import SOAK
from soak.links import Link
from soak.streams import (
    ABANDONED_SECONDS,
    CATCH_UP_SECONDS,
    MAX_ABANDONED_RUNS,
    MAX_OVERRUN_REQUESTS,
    RESCUE_SECONDS,
    check_abandoned,
    check_attempts,
    check_planned,
    check_streams,
)
from soak.world import UNREPEATABLE_KIND, Node, World
from standins.objects import ObjectStore
from standins.replica import ReplicaStandIn, Run

_SENT = 10.0
_ENDED = 12.0
_DURING = 11.0
_DEADLINE = 14.0

_Change = Callable[[World, Attempt], object]


def _make_run(identity: str, at: float, **changes: float | str) -> Run:
    run = Run(identity, CIMultiDict(), '/plan/x', b'', at=at, ended=_ENDED)
    run.first_event = at + 0.1
    for name, value in changes.items():
        setattr(run, name, value)
    return run


def _make_attempt(identity: str = 'r-1') -> Attempt:
    """Make a stream that was cut off after two events."""
    return Attempt(
        identity,
        'plan',
        KEY,
        _SENT,
        200,
        body=make_event_stream(2),
        node='node-0',
        ended=_ENDED,
        deadline=_DEADLINE,
    )


def _make_world() -> World:
    """Make a world of two nodes and three replicas without any faults."""
    world = World(random.Random(1), ObjectStore())
    for number in range(3):
        replica = ReplicaStandIn(f'm-{number}', 'model')
        world.replicas.append(replica)
        world.links[replica.name] = Link(('127.0.0.1', 1), port=8000 + number)
    for number in range(2):
        links = Link(('127.0.0.1', 1)), Link(('127.0.0.1', 1))
        world.nodes.append(Node(f'node-{number}', '', Path(), *links, Path()))
    return world


def _cut_off(change: _Change) -> list[str]:
    """Cut off a stream at a replica, after a change to the world."""
    world, attempt = _make_world(), _make_attempt()
    world.replicas[0].runs.append(_make_run('r-1', _SENT))
    change(world, attempt)
    return list(check_streams(world, Clients(world, [attempt])))


def _pass_through(world: World, number: int) -> None:
    """Let the run of a stream pass through another replica."""
    address = world.links[world.replicas[number].name].address
    path = f'127.0.0.1:8000=0-4,{address}=4-8'
    world.replicas[0].runs[0].headers['X-Ryelatch-Hop-Count'] = path


def _change_nothing(world: World, attempt: Attempt) -> None:
    """Leave the world without faults."""


def _pause_before(world: World, attempt: Attempt) -> None:
    world.replicas[0].standstills.append((_SENT + 0.5, _ENDED))


def _crash_after(world: World, attempt: Attempt) -> None:
    world.replicas[0].crashed_at = _ENDED + 0.1


def _crash_other(world: World, attempt: Attempt) -> None:
    world.replicas[1].crashed_at = _DURING


def _harm_other(world: World, attempt: Attempt) -> None:
    world.links['m-1'].harms.append((_DURING, math.inf))


def _harm_before(world: World, attempt: Attempt) -> None:
    world.links['m-0'].harms.append((_SENT - 2, _SENT - 1))


def _kill_other(world: World, attempt: Attempt) -> None:
    world.nodes[1].killed.append(_DURING)


def _kill_before(world: World, attempt: Attempt) -> None:
    world.nodes[0].killed.append(_SENT - 1)


def _leave_long_after(world: World, attempt: Attempt) -> None:
    attempt.left = True
    end = _ENDED - CATCH_UP_SECONDS - 0.1
    world.replicas[0].standstills.append((_SENT, end))


def _lose_answer(world: World, attempt: Attempt) -> None:
    attempt.status, attempt.complete = 502, True


def _resume_without_events(world: World, attempt: Attempt) -> None:
    second = _make_run('r-1', _DURING, first_event=0, fault='hung')
    world.replicas[1].runs.append(second)


def _add_overtaken(world: World, attempt: Attempt, received: float) -> None:
    """Add a run that ends while the earlier one, which crashes, goes on."""
    second = _make_run('r-1', _DURING, first_event=0)
    second.ended = _DURING + 0.5
    world.replicas[1].runs.append(second)
    world.replicas[0].crashed_at = _ENDED
    attempt.ended = _ENDED + 0.1
    attempt.received.append(received)


def _end_without_need(world: World, attempt: Attempt) -> None:
    _add_overtaken(world, attempt, _SENT)


def _end_with_the_other(world: World, attempt: Attempt) -> None:
    _add_overtaken(world, attempt, _DURING + 0.5)
    world.replicas[0].runs[0].ended = _DURING + 0.5


def _resume_too_late(world: World, attempt: Attempt) -> None:
    world.replicas[0].runs[0].ended = _DURING
    second = _make_run('r-1', _DURING + 0.1, fault='broken off')
    world.replicas[1].runs.append(second)


def _delay(
    world: World, name: str, start: float, end: float, waited: float
) -> None:
    """Let a process wait for a processor for a part of a time."""
    waits = iter((0, waited))
    pid = os.getpid() if name == SOAK else 0
    lateness = world.lateness
    lateness.list_processes = lambda: {} if name == SOAK else {name: pid}
    lateness.read = lambda read: next(waits) if read == pid else None
    lateness.sample(start)
    lateness.sample(end)


def _delay_little(world: World, attempt: Attempt) -> None:
    attempt.left = True
    _delay(world, 'node-0', _SENT, _ENDED, _ENDED - _SENT - RESCUE_SECONDS)


def _delay_other(world: World, attempt: Attempt) -> None:
    attempt.left = True
    _delay(world, 'node-1', _SENT, _ENDED, 1)


def _delay_before(world: World, attempt: Attempt) -> None:
    attempt.left = True
    _delay(world, 'node-0', _SENT - 1, _SENT, 1)


def _delay_cut_off(world: World, attempt: Attempt) -> None:
    _delay(world, 'node-0', _SENT, _ENDED, 1)


def _delay_perhaps_before(world: World, attempt: Attempt) -> None:
    attempt.left = True
    _delay(world, 'node-0', _SENT - 1, _ENDED, 1)


@pytest.mark.parametrize(
    'change',
    [
        _change_nothing,
        _end_without_need,
        _end_with_the_other,
        _delay_little,
        _delay_other,
        _delay_before,
        _delay_cut_off,
        _delay_perhaps_before,
        _pause_before,
        _crash_after,
        _crash_other,
        _harm_other,
        _harm_before,
        _kill_other,
        _kill_before,
        _leave_long_after,
        _lose_answer,
        _resume_without_events,
        _resume_too_late,
    ],
)
def test_unfinished_stream_is_found(change: _Change) -> None:
    """A stream that a sound replica would have finished counts as right."""
    assert _cut_off(change)


def _delay_node(world: World, attempt: Attempt) -> None:
    attempt.left = True
    _delay(world, 'node-0', _SENT, _ENDED, 0.3)


def _delay_soak(world: World, attempt: Attempt) -> None:
    attempt.left = True
    _delay(world, SOAK, _SENT, _ENDED, 0.3)


def _go_on_and_crash(world: World, attempt: Attempt) -> None:
    _add_overtaken(world, attempt, _DURING + 0.5)


def _finish(world: World, attempt: Attempt) -> None:
    attempt.complete = True


def _break_off(world: World, attempt: Attempt) -> None:
    world.replicas[0].runs[0].fault = 'broken off'


def _crash(world: World, attempt: Attempt) -> None:
    world.replicas[0].crashed_at = _DURING


def _crash_stage(world: World, attempt: Attempt) -> None:
    _pass_through(world, 1)
    _crash_other(world, attempt)


def _harm(world: World, attempt: Attempt) -> None:
    world.links['m-0'].harms.append((_DURING, math.inf))


def _harm_after_move(world: World, attempt: Attempt) -> None:
    path = f'127.0.0.1:8000=0-4,{world.links["m-1"].address}=4-8'
    world.replicas[0].commands.append({'id': 'r-1', 'path': path})
    _harm_other(world, attempt)


def _cut_before(world: World, attempt: Attempt) -> None:
    world.replicas[0].runs[0].port = 5
    world.links['m-0'].cut_ports.add(5)


def _drop(world: World, attempt: Attempt) -> None:
    world.dropped_at['m-0'] = _DURING


def _kill(world: World, attempt: Attempt) -> None:
    world.nodes[0].killed.append(_DURING)


def _harm_front(world: World, attempt: Attempt) -> None:
    world.nodes[0].front_link.harms.append((_DURING, _DURING))


def _pass_deadline(world: World, attempt: Attempt) -> None:
    attempt.ended = _DEADLINE


def _leave_paused(world: World, attempt: Attempt) -> None:
    attempt.left = True
    _pause_before(world, attempt)


def _resume_and_crash(world: World, attempt: Attempt) -> None:
    world.replicas[1].runs.append(_make_run('r-1', _DURING))
    world.replicas[1].crashed_at = _ENDED - 0.1


@pytest.mark.parametrize(
    'change',
    [
        _finish,
        _break_off,
        _crash,
        _crash_stage,
        _harm,
        _harm_after_move,
        _cut_before,
        _drop,
        _kill,
        _harm_front,
        _pass_deadline,
        _leave_paused,
        _delay_node,
        _delay_soak,
        _resume_and_crash,
        _go_on_and_crash,
    ],
)
def test_stream_lost_by_the_soak_is_excused(change: _Change) -> None:
    """A stream that no node could have finished counts as a fault."""
    assert not _cut_off(change)


@pytest.mark.parametrize(
    ('count', 'fault', 'found'),
    [
        (MAX_OVERRUN_REQUESTS + 1, '', True),
        (MAX_OVERRUN_REQUESTS, '', False),
        (MAX_OVERRUN_REQUESTS + 1, 'broken off', False),
    ],
)
def test_streams_with_too_many_runs_are_found(
    count: int, fault: str, found: bool
) -> None:
    """Runs that were broken off don't count as attempts."""
    world = _make_world()
    attempts = [_make_attempt(f'r-{number}') for number in range(count)]
    for attempt in attempts:
        for replica in world.replicas:
            replica.runs.append(_make_run(attempt.identity, _SENT))
        world.replicas[0].runs[-1].fault = fault
    clients = Clients(world, attempts)
    assert bool(list(check_attempts(world, clients))) is found


@pytest.mark.parametrize(
    ('kind', 'replicas', 'killed', 'found'),
    [
        ('ping', 3, False, True),
        ('ping', 2, False, False),
        ('ping', 3, True, False),
        ('book', 2, False, True),
        ('book', 1, False, False),
    ],
)
def test_plain_requests_run_too_often_are_found(
    kind: str, replicas: int, killed: bool, found: bool
) -> None:
    """Only streams count, or a replica that stood still counts as ended."""
    world = _make_world()
    attempts = [
        _make_attempt(f'r-{number}')
        for number in range(MAX_OVERRUN_REQUESTS + 1)
    ]
    for attempt in attempts:
        attempt.kind = kind
        for replica in world.replicas[:replicas]:
            run = _make_run(attempt.identity, _SENT, first_event=0)
            replica.runs.append(run)
    world.replicas[0].standstills.append((_SENT, _ENDED))
    if killed:
        world.replicas[1].crashed_at = _DURING
    clients = Clients(world, attempts)
    assert bool(list(check_attempts(world, clients))) is found


@pytest.mark.parametrize(
    ('crashed_at', 'found'), [(_DURING, False), (_SENT - 1, True)]
)
def test_former_process_at_address_is_no_excuse(
    crashed_at: float, found: bool
) -> None:
    """A process killed before a stream began excuses the next one there."""

    def change(world: World, attempt: Attempt) -> None:
        world.killing = True
        address = '127.1.1.1:9000'
        for replica in world.replicas[:2]:
            replica.address = address
        world.replicas[1].crashed_at = crashed_at
        path = world.replicas[0].runs[0].headers
        path['X-Ryelatch-Hop-Count'] = f'{address}=0-8'

    assert bool(_cut_off(change)) is found


@pytest.mark.parametrize(
    ('crashed_at', 'found'), [(_DURING, False), (math.inf, True)]
)
def test_plain_answer_lost_beside_kills_is_found(
    crashed_at: float, found: bool
) -> None:
    """An answer of a replica that wasn't killed is lost unnoticed."""
    world, attempt = _make_world(), _make_attempt()
    world.killing = True
    attempt.kind = 'ping'
    world.replicas[0].runs.append(_make_run('r-1', _SENT))
    world.replicas[0].crashed_at = crashed_at
    clients = Clients(world, [attempt])
    assert bool(list(check_planned(world, clients))) is found


@pytest.mark.parametrize(
    ('count', 'late', 'paused', 'found'),
    [
        (MAX_ABANDONED_RUNS + 1, 0.1, False, True),
        (MAX_ABANDONED_RUNS + 1, math.inf, False, True),
        (MAX_ABANDONED_RUNS, 0.1, False, False),
        (MAX_ABANDONED_RUNS + 1, -0.1, False, False),
        (MAX_ABANDONED_RUNS + 1, 0.1, True, False),
    ],
)
def test_abandoned_runs_are_found(
    count: int, late: float, paused: bool, found: bool
) -> None:
    """Replicas go on with runs that nobody waits for."""
    world = _make_world()
    world.pausing = True
    attempts = [_make_attempt(f'r-{number}') for number in range(count)]
    for attempt in attempts:
        attempt.complete = True
        run = _make_run(attempt.identity, _SENT)
        run.ended = _ENDED + ABANDONED_SECONDS + late
        world.replicas[0].runs.append(run)
    if paused:
        world.replicas[0].standstills.append((_DURING, _ENDED + 0.1))
    clients = Clients(world, attempts)
    assert bool(list(check_abandoned(world, clients))) is found


@pytest.mark.parametrize(
    ('waited', 'found'), [(0.6, True), (0.7, True), (0.9, False)]
)
def test_runs_are_ended_in_time_by_a_late_node(
    waited: float, found: bool
) -> None:
    """A node that waits for a processor may go on with runs for ever."""
    world = _make_world()
    world.pausing = True
    names = [f'r-{number}' for number in range(MAX_ABANDONED_RUNS + 1)]
    attempts = [_make_attempt(name) for name in names]
    run_end = _ENDED + ABANDONED_SECONDS + 0.8
    for name in names:
        run = _make_run(name, _SENT)
        run.ended = run_end
        world.replicas[0].runs.append(run)
    _delay(world, 'node-0', _ENDED, run_end, waited)
    clients = Clients(world, attempts)
    assert bool(list(check_abandoned(world, clients))) is found


@pytest.mark.parametrize(
    ('complete', 'ran', 'ended', 'found'),
    [
        (False, True, _ENDED, True),
        (True, True, _ENDED, False),
        (False, False, _ENDED, False),
        (False, True, _DEADLINE, False),
    ],
)
def test_requests_lost_to_planned_work_are_found(
    complete: bool, ran: bool, ended: float, found: bool
) -> None:
    """A request that has run may get no answer, until its deadline."""
    world, attempt = _make_world(), _make_attempt()
    world.releasing = True
    attempt.kind = 'book'
    attempt.complete = complete
    attempt.ended = ended
    if ran:
        world.replicas[0].runs.append(_make_run('r-1', _SENT))
    clients = Clients(world, [attempt])
    assert bool(list(check_planned(world, clients))) is found


def test_streams_that_run_once_are_checked() -> None:
    """A stream that may run once only is cut off, and nobody asks why."""
    world, attempt = _make_world(), _make_attempt()
    attempt.kind = UNREPEATABLE_KIND
    world.replicas[0].runs.append(_make_run('r-1', _SENT))
    assert list(check_streams(world, Clients(world, [attempt])))
