"""Requests that crash replicas before, or just as, their answers begin."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass, field

import pytest
from aiohttp import ClientError

from fleet.running import (
    KEY,
    RunningNode,
    ask,
    make_model_replicas,
    make_non_model_replicas,
    run_nodes,
)
from ryelatch_core.kernel import cancel_task
from ryelatch_core.quarantine import digest_request
from standins.replica import Ending, ReplicaStandIn, Sent

_CRASHING = b'a question under which replicas end'
_REPLICAS = 14
_NODES = 3
_SEND_SECONDS = 11.0
_SEND_PAUSE_SECONDS = 0.5
_SOUND_PAUSE_SECONDS = 0.05
_RESTART_SECONDS = 1.5
_EXPIRY_SECONDS = 1.0

_CONTACT_SECONDS = 3.0
_MAX_LATE_RUNS = 3
_SETTLED_SECONDS = 6.0
"""Time from the third crash until sound requests are served again."""

_SERVED_RATIO = 0.95

_SOON = 0.03


@dataclass
class _Play:
    """A request that is sent again and again, and sound ones beside it.

    :param served: when sound requests were sent, and whether they were served.
    """

    nodes: list[RunningNode]
    replicas: list[ReplicaStandIn]
    ending: Ending
    path: str
    served: list[tuple[float, bool]] = field(default_factory=list)

    @property
    def third_crash(self) -> float:
        """When the third replica crashed."""
        return sorted(_list_crashes(self.replicas))[2]

    async def send(self, number: int) -> None:
        """Send the crashing request to one of the nodes."""
        with contextlib.suppress(ClientError):
            await ask(
                self.nodes[number % len(self.nodes)],
                self.path,
                identity=f'c-{number}',
                content=_CRASHING,
            )

    async def send_sound(self, number: int) -> None:
        """Send a sound request, no two of which are alike."""
        sent = asyncio.get_running_loop().time()
        status, body = 0, b''
        with contextlib.suppress(ClientError):
            status, body, _ = await ask(
                self.nodes[number % len(self.nodes)],
                '/plan/x',
                identity=f's-{number}',
                content=f'question {number}'.encode(),
            )
        served = status == 200 and f'token {_EVENTS}'.encode() in body
        self.served.append((sent, served))

    async def replace_crashed(self) -> None:
        """Start a new replica at another address for each that crashed."""
        replaced: set[str] = set()
        async with asyncio.TaskGroup() as starting:
            while True:
                crashed = {
                    each.name: each for each in self.replicas if each.crashes
                }
                for name in crashed.keys() - replaced:
                    starting.create_task(self._replace(crashed[name]))
                replaced |= crashed.keys()
                await asyncio.sleep(0.1)

    def count_late_runs(self) -> int:
        """Count the runs that began later than nodes are allowed to."""
        since = self.third_crash + _CONTACT_SECONDS
        return sum(run.at > since for run in _list_runs(self.replicas))

    def count_blamed(self) -> int:
        """Count the sound requests that any node refused for crashes."""
        account = KEY.removesuffix('-key')
        digest = digest_request(
            'city.example', 'POST', self.path, account, _CRASHING
        )
        lines = itertools.chain.from_iterable(node.lines for node in self.nodes)
        blamed = {
            line['digest']
            for line in lines
            if line['name'] == 'request-quarantined'
        }
        return len(blamed - {digest})

    def compute_served(self) -> float:
        """Compute the share of sound requests that were served at last."""
        since = self.third_crash + _SETTLED_SECONDS
        late = [served for sent, served in self.served if sent > since]
        return sum(late) / len(late)

    async def _replace(self, old: ReplicaStandIn) -> None:
        await asyncio.sleep(_RESTART_SECONDS)
        new = ReplicaStandIn(
            f'{old.name}-again',
            old.service,
            accelerator=old.accelerator,
            layers=old.layers,
        )
        _prepare(new, self.ending)
        self.replicas.append(await self.nodes[0].add(new))
        await asyncio.sleep(_EXPIRY_SECONDS)
        self.nodes[0].store.drop('servers', old.name)


_EVENTS = 8


def _prepare(replica: ReplicaStandIn, ending: Ending) -> None:
    replica.crash_on = _CRASHING
    replica.ending = ending
    replica.events = _EVENTS
    replica.pause = 0.1
    replica.started_at = 1000


def _list_crashes(replicas: list[ReplicaStandIn]) -> Iterator[float]:
    return itertools.chain.from_iterable(
        replica.crashes for replica in replicas
    )


def _list_runs(replicas: list[ReplicaStandIn]) -> list:
    return [
        run
        for replica in replicas
        for run in replica.runs
        if run.body == _CRASHING
    ]


@contextlib.asynccontextmanager
async def _run_sound(play: _Play) -> AsyncIterator[None]:
    """Send sound requests all the while."""

    async def send_all() -> None:
        async with asyncio.TaskGroup() as sending:
            for number in itertools.count():
                sending.create_task(play.send_sound(number))
                await asyncio.sleep(_SOUND_PAUSE_SECONDS)

    sound = asyncio.create_task(send_all())
    yield
    await cancel_task(sound)


async def _play(
    ending: Ending,
    *,
    path: str = '/plan/x',
    sound: bool = True,
    copies: int = 1,
) -> _Play:
    """Send a crashing request to all nodes in turn, for some seconds."""
    replicas = (
        make_model_replicas(*[(0, 8)] * _REPLICAS)
        if path.startswith('/plan')
        else make_non_model_replicas(_REPLICAS)
    )
    if sound and not path.startswith('/plan'):
        replicas += make_model_replicas((0, 8), (0, 8))
    for replica in replicas:
        _prepare(replica, ending)
    async with run_nodes(replicas, _NODES) as nodes:
        play = _Play(nodes, list(replicas), ending, path)
        replacing = asyncio.create_task(play.replace_crashed())
        async with contextlib.AsyncExitStack() as stack:
            if sound:
                await stack.enter_async_context(_run_sound(play))
                await asyncio.sleep(1)
            await _send_copies(play, copies)
        await cancel_task(replacing)
        await asyncio.sleep(0.2)
    return play


async def _send_copies(play: _Play, copies: int) -> None:
    numbers = itertools.count()
    async with asyncio.TaskGroup() as sending:
        for _ in range(round(_SEND_SECONDS / _SEND_PAUSE_SECONDS)):
            for number in itertools.islice(numbers, copies):
                sending.create_task(play.send(number))
            await asyncio.sleep(_SEND_PAUSE_SECONDS)


_SOON_ENDINGS = (
    Ending(Sent.NOTHING, _SOON),
    Ending(Sent.NOTHING, _SOON, resets=True),
    Ending(Sent.PART, _SOON),
    Ending(Sent.HEAD, _SOON, listens=0.02),
    Ending(Sent.HEAD, _SOON, listens=0.3),
    Ending(Sent.EVENT, _SOON, listens=0.1),
    Ending(Sent.NOTHING, _SOON, listens=0.1, resets=True),
)
_LATE_ENDINGS = (
    Ending(Sent.NOTHING, 0.3),
    Ending(Sent.NOTHING, 0.7),
    Ending(Sent.NOTHING, 2.0),
    Ending(Sent.EVENT, 2.0, listens=0.02),
)
_RETURNS = (
    Ending(Sent.HEAD, _SOON, back=0),
    Ending(Sent.NOTHING, _SOON, back=0.05),
    Ending(Sent.EVENT, _SOON, listens=0.02, back=0.5),
)


def _name_ending(ending: Ending) -> str:
    names = (
        ending.sent.value,
        f'{ending.after}s',
        f'listens-{ending.listens}' if ending.listens else '',
        f'back-{ending.back}' if ending.back < 10 else '',
        'reset' if ending.resets else '',
    )
    return '-'.join(filter(None, names))


@pytest.mark.parametrize(
    'ending', [*_SOON_ENDINGS, *_LATE_ENDINGS, *_RETURNS], ids=_name_ending
)
async def test_crashes_beside_sound_streams_are_counted(ending: Ending) -> None:
    """A request goes on crashing replicas, as its crashes count for nothing.

    Its replica's address still accepts connections as it is checked, or other
    requests had just begun at the same replica.
    """
    play = await _play(ending)
    assert play.count_late_runs() <= _MAX_LATE_RUNS
    assert not play.count_blamed()
    assert play.compute_served() >= _SERVED_RATIO


@pytest.mark.parametrize('copies', [1, 4])
async def test_frequent_crashes_are_judged(copies: int) -> None:
    """Each further crash puts off the judgement of those that waited."""
    ending = Ending(Sent.NOTHING, _SOON)
    play = await _play(ending, sound=False, copies=copies)
    assert play.count_late_runs() <= _MAX_LATE_RUNS
    assert len(list(_list_crashes(play.replicas))) <= 3 + _MAX_LATE_RUNS


async def test_address_of_a_plain_replica_accepts_on() -> None:
    """A plain request goes on crashing replicas whose addresses accept on."""
    ending = Ending(Sent.NOTHING, _SOON, listens=0.1)
    play = await _play(ending, path='/ping/x', sound=False)
    assert play.count_late_runs() <= _MAX_LATE_RUNS
