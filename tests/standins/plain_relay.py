"""Stand-in for the services by which requests without a model are relayed."""

import asyncio
import random
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from ryelatch_core.admission import Priority
from ryelatch_core.events import LineLog
from ryelatch_core.fleet import (
    DurationTracker,
    FailureTracker,
    LoadTracker,
    Replica,
)
from ryelatch_core.quarantine import Fingerprint
from ryelatch_core.retries import RetryBudget, RetryBudgets
from ryelatch_core.routing import RetryPolicy, Route
from ryelatch_node.ports import AnswerMetadata
from ryelatch_node.relay._end_checks import AnswerEnd
from ryelatch_node.relay._errors import SendError, SendErrorKind
from ryelatch_node.relay._exchange import AdmittedRequest, Exchange
from ryelatch_node.relay._held import HeldBytes
from standins.links import SoundLinks
from virtual.loop import VirtualClock

SERVICE = 'booking'
OK = 200
_READING_STEPS = 3
"""Steps of the loop in which data that has arrived is read and handled."""


class _Links(SoundLinks):
    async def has_lost(self, _: str) -> bool:
        return False


@dataclass(eq=False)
class PlainReplica:
    """A replica that is silent for a while, and what it does after that.

    :param silence: seconds until it answers.
    :param status: of its answer; 0 if its connection breaks instead.
    :param refuses: whether it answers that it has not run the request.
    :param sent: when requests were sent to it, in seconds of the loop's clock.
    :param cancelled: when requests were cancelled.
    """

    name: str
    silence: float = 0.01
    status: int = OK
    refuses: bool = False
    sent: list[float] = field(default_factory=list)
    cancelled: list[float] = field(default_factory=list)

    @property
    def entry(self) -> Replica:
        """Its entry in the list of replicas."""
        return Replica(self.name, SERVICE, f'{self.name}:80', 'zone-a')

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[Any]:
        """Answer a request after the silence."""
        loop = asyncio.get_running_loop()
        self.sent.append(loop.time())
        try:
            await asyncio.sleep(self.silence)
            for _ in range(_READING_STEPS):
                await asyncio.sleep(0)
        except asyncio.CancelledError:
            self.cancelled.append(loop.time())
            raise
        if not self.status:
            raise SendError(SendErrorKind.LOST, 'reset')
        terms = AnswerMetadata('r-1', True, self.refuses, '', False)
        yield SimpleNamespace(
            status=self.status,
            headers=[],
            terms=terms,
            end=AnswerEnd.LENGTH,
            iterate=self._iterate,
        )

    async def _iterate(self) -> AsyncIterator[bytes]:
        yield self.name.encode()


@dataclass(eq=False)
class PlainRelay:
    """A node with replicas of a service without a model.

    :param retries: that its budget has left.
    :param messages: what was sent to the client.
    """

    replicas: list[PlainReplica]
    retries: float = 10
    max_attempts: int = 2
    messages: list[Any] = field(default_factory=list)
    suspected: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Create the services."""
        self.clock = VirtualClock()
        self.log = LineLog('node-a', self.clock, len)
        budgets = RetryBudgets(RetryBudget(reserve=self.retries))
        self.budget = budgets.get(SERVICE)
        self.load = LoadTracker()
        self.context: Any = SimpleNamespace(
            clock=self.clock,
            now=self.clock.monotonic,
            draw=random.Random(1).random,
            log=self.log,
            budgets=budgets,
            links=_Links(),
            load=self.load,
            durations=DurationTracker(),
            failures=FailureTracker(),
            held=HeldBytes(),
            startup=SimpleNamespace(zone='zone-a'),
            throttle=SimpleNamespace(
                list_closed=frozenset,
                is_throttled=lambda _: False,
                find_wait=lambda _: 0,
            ),
            replicas=SimpleNamespace(
                list_service=lambda _: [each.entry for each in self.replicas],
                list_suspects=lambda: frozenset(self.suspected),
                suspect=self._suspect,
                clear_suspicion=lambda replica: None,
                cut=SimpleNamespace(list_names=frozenset),
                freshness=SimpleNamespace(age=0.0),
                find_missing=lambda _: 0.0,
            ),
            quarantine=SimpleNamespace(
                wait_until_settled=_settle,
                find_refused=lambda _: None,
                find_suspect=lambda _: None,
                record_crash=lambda *_: None,
                record_run=lambda _: None,
            ),
            crash_checks=SimpleNamespace(
                count_crash=_count_crash,
                expect_crash=lambda *_: None,
                follow=lambda _: None,
            ),
            wire=SimpleNamespace(write_request=lambda headers, _: headers),
            upstreams=SimpleNamespace(send=self._send),
        )
        self.exchange = Exchange(
            'r-1', self._receive, self.log, self.clock, bool
        )

    @property
    def status(self) -> int:
        """Status that the client received."""
        status: int = self.messages[0]['status']
        return status

    @property
    def body(self) -> bytes:
        """Body that the client received."""
        return b''.join(message.get('body', b'') for message in self.messages)

    def make_request(
        self, seconds: float, policy: RetryPolicy = RetryPolicy.ANY
    ) -> AdmittedRequest:
        """Make a request that arrives now.

        :param seconds: for which its client waits.
        """
        now = self.clock.monotonic()
        terms: Any = SimpleNamespace(identity='r-1')
        route = Route(
            'ping', '', '/', (), policy, False, self.max_attempts, 3, 0.5, 0, 1
        )
        return AdmittedRequest(
            'POST',
            '/ping/x',
            [],
            b'',
            terms,
            route,
            SERVICE,
            '',
            Priority(1, 1),
            now,
            now + seconds,
            1,
            Fingerprint('digest'),
        )

    async def _receive(self, message: Any) -> None:
        self.messages.append(message)

    def _suspect(self, replica: Replica, *_: str, full: bool) -> None:
        self.suspected.append(replica.name)

    def _send(self, replica: Replica, *_: Any, **options: Any) -> Any:
        serving = {each.name: each for each in self.replicas}
        return serving[replica.name].serve()


async def _settle(_: Fingerprint) -> bool:
    return False


async def _count_crash(*_: Any, **_options: bool) -> bool:
    return False


def count_sends(replicas: Iterable[PlainReplica]) -> int:
    """Count the requests that were sent to replicas."""
    return sum(len(replica.sent) for replica in replicas)
