"""The promises that a soak checks, from what clients and replicas saw."""

import itertools
from collections import Counter
from collections.abc import Callable, Iterator

from fleet.running import make_event_stream
from soak.asking import LIMIT, NOTICE_SECONDS, SPAN_SECONDS
from soak.clients import Attempt, Clients
from soak.crashing import CRASHING_KINDS, find_digest
from soak.world import CRASHING, EVENTS, SPARE_KEY, World
from standins.replica import Run

REVOKE_SECONDS = 5.0
"""The bound on revoked keys that the nodes are given by default."""

LEAVING_SECONDS = 6.0
"""When a replica that leaves must get no more, with the store in trouble."""

MOST_RETRIES = 3
"""Replicas that may run a request under which three have ended."""

_NOT_RUN = frozenset((408, 421, 429, 503))
_CRASHES = frozenset(('task-crashed', 'exchange-crashed', 'no-json'))
_LEAST_SERVED = 0.9

Check = Callable[[World, Clients], Iterator[str]]


def check_answers(world: World, clients: Clients) -> Iterator[str]:
    """Whole answers are right and the client's own; others are prefixes."""
    streams = [make_event_stream(count) for count in range(EVENTS + 1)]
    for attempt in clients.attempts:
        if attempt.status != 200:
            continue
        if attempt.kind == 'plan':
            good = attempt.body == streams[-1]
            if not attempt.whole:
                good = streams[-1].startswith(attempt.body)
        else:
            name = attempt.signature.removeprefix('signed-')
            good = not attempt.whole or attempt.body == (
                f'answer of {name}'.encode()
            )
        if not good:
            yield f'wrong answer: {attempt}'


def check_runs(world: World, clients: Clients) -> Iterator[str]:
    """Bookings run once at most, and never where a refusal says so."""
    counts = Counter(run.identity for _, run in _list_runs(world))
    for attempt in clients.attempts:
        ran = counts[attempt.identity]
        if attempt.kind != 'book':
            continue
        if ran > 1:
            yield f'ran {ran} times: {attempt}'
        if ran and attempt.status in _NOT_RUN and not attempt.signature:
            yield f'said not to have run: {attempt}'


def check_senders(world: World, clients: Clients) -> Iterator[str]:
    """Only what was asked runs, under the name of who asked."""
    known = {attempt.identity: attempt for attempt in clients.attempts}
    for name, run in _list_runs(world):
        attempt = known.get(run.identity)
        if attempt is None:
            yield f'{name} ran what nobody asked: {run.identity}'
            continue
        account = run.headers.get('X-Ryelatch-Tenant', '')
        right = f'{account}-key' == attempt.key
        if not right or run.path != f'/{attempt.kind}/x':
            yield f'{name} ran {run.path} for {account}: {attempt}'


def check_revoked(world: World, clients: Clients) -> Iterator[str]:
    """A key that was taken away runs nothing after the bound."""
    if world.revoked is None:
        return
    ran = {run.identity for _, run in _list_runs(world)}
    for attempt in clients.attempts:
        late = attempt.sent > world.revoked + REVOKE_SECONDS
        if late and attempt.key == SPARE_KEY and attempt.identity in ran:
            yield f'ran after its key was taken away: {attempt}'


def check_leaving(world: World, clients: Clients) -> Iterator[str]:
    """A replica that leaves gets no new work after some seconds."""
    for name, run in _list_runs(world):
        since = world.leaving.get(name)
        if since is not None and run.at > since + LEAVING_SECONDS:
            yield f'{name} was leaving for {run.at - since:.1f} s: {run}'


def check_processes(world: World, clients: Clients) -> Iterator[str]:
    """Processes end only when they are made to, and no part crashes."""
    for node in world.nodes:
        if node.ends > node.wanted_ends:
            yield f'{node.name} ended {node.ends} times by itself'
        for line in node.read_lines():
            if line['name'] in _CRASHES:
                yield f'{node.name} wrote {line}'


def check_crashing(world: World, clients: Clients) -> Iterator[str]:
    """What ends replicas meets few of them, and nothing else is refused.

    While faults go on a node may not be able to hear of the ends; in calm all
    know of them.
    """
    crashed = sum(one.crashed for one in world.replicas)
    late = [
        run
        for _, run in _list_runs(world)
        if run.body == CRASHING and run.at > world.calm
    ]
    if len(late) > MOST_RETRIES:
        yield f'{crashed} replicas ended, in calm under {late}'
    known = {find_digest(kind) for kind in CRASHING_KINDS}
    for node in world.nodes:
        for line in node.read_lines():
            wrong = line.get('digest') not in known
            if line['name'] == 'request-quarantined' and wrong:
                yield f'{node.name} refuses what ended nothing: {line}'


def check_limited(world: World, clients: Clients) -> Iterator[str]:
    """A replica in need gets no more than it named, and not nothing."""
    if world.limited is None:
        return
    wanted, since = world.limited
    times = [
        run.at
        for name, run in _list_runs(world)
        if name == wanted and run.at > since + NOTICE_SECONDS
    ]
    most = max(
        (sum(one <= at < one + SPAN_SECONDS for at in times) for one in times),
        default=0,
    )
    if not 1 <= most <= 1.5 * LIMIT * SPAN_SECONDS + 5:
        yield f'{wanted} got {most} in {SPAN_SECONDS} s at a limit of {LIMIT}'


def check_recovery(calm: list[Attempt]) -> Iterator[str]:
    """After the last fault requests are served as if nothing had been."""
    served = sum(one.status == 200 and one.whole for one in calm)
    if served < len(calm) * _LEAST_SERVED:
        failed = [one for one in calm if one.status != 200 or not one.whole]
        yield f'served {served} of {len(calm)} in calm: {failed[:3]}'


CHECKS: tuple[Check, ...] = (
    check_answers,
    check_runs,
    check_senders,
    check_revoked,
    check_leaving,
    check_processes,
    check_crashing,
    check_limited,
)


def list_violations(
    world: World,
    clients: Clients,
    calm: list[Attempt],
) -> list[str]:
    """Check all promises."""
    found = (check(world, clients) for check in CHECKS)
    return [*itertools.chain.from_iterable(found), *check_recovery(calm)]


def _list_runs(world: World) -> Iterator[tuple[str, Run]]:
    for replica in world.replicas:
        for run in replica.runs:
            yield replica.name, run
