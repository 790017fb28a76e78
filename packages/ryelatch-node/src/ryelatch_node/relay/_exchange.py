"""One request of a client, from its headers to the end of its answer."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any, TypeAlias

from starlette.types import Message, Send

from ryelatch_core.admission import Priority
from ryelatch_core.events import EventKind, LineLog, catalogue
from ryelatch_core.fleet import Replica
from ryelatch_core.kernel import Clock
from ryelatch_core.quarantine import Fingerprint
from ryelatch_core.routing import RetryPolicy, Route
from ryelatch_node.clients import HasLeft
from ryelatch_node.ports import Headers, RequestMetadata
from ryelatch_node.relay._crash_checks import Fate
from ryelatch_node.relay._end_checks import AnswerEnd
from ryelatch_node.relay._errors import ClientGone

_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'content-length',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
_DIGITS = 3

Reject: TypeAlias = Callable[[int, str, float | None], Awaitable[None]]
"""Sends an error: its status, its reason, and when to retry in seconds."""


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request of a client that was admitted.

    :param target: path and query, byte for byte.
    :param account: name of its client account; empty if anonymous.
    :param priority: the least is served first.
    :param arrived: when its headers were received, in monotonic seconds.
    :param deadline: deadline of its complete answer, in monotonic seconds.
    :param version: version of the configuration under which it was admitted.
    :param fingerprint: its content and the parts of its prompt, by which the
        crashes of replicas are counted.
    :param origin: name of the node that forwarded it; empty if its client is
        connected to this node. It is forwarded to no other one.
    :param trial: whether it is refused unless it is the fleet's next trial of
        what may crash replicas.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    terms: RequestMetadata
    route: Route
    service: str
    account: str
    priority: Priority
    arrived: float
    deadline: float
    version: int
    fingerprint: Fingerprint
    origin: str = ''
    trial: bool = False

    @property
    def digest(self) -> str:
        """Hash of its content; equal for copies of the request."""
        return self.fingerprint.digest

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.retry_policy is not RetryPolicy.NEVER


@dataclass(slots=True)
class Exchange:
    """State of a client's request and of the answer to it.

    :param identity: of this attempt of the client.
    :param send: the ASGI callable that sends messages to the client.
    :param has_left: whether the end of the client's connection has arrived,
        read or not.
    :param closing: whether the connection is closed after this answer.
    :param started: whether the answer's headers were sent to the client.
    :param finished: whether the answer was sent completely.
    :param client_gone: whether the client has closed its connection.
    :param sends: how often the request was sent to an upstream.
    :param unsent: how many of these reached no upstream.
    :param on_trial: whether it is the fleet's trial of what is refused.
    :param unbegun: runs in progress of which no event has arrived yet.
    :param ran: runs that count against the attempts its route allows.
    :param cut: first replicas of such runs whose connections alone were lost.
    :param status: HTTP status of the answer; 0 before it started.
    :param pause: longest time between two pieces of the answer, in seconds.
    :param detail: more fields for the log line of the request's end.
    :param reject: sends an error of this node; ``None`` to send it as an
        answer.
    """

    identity: str
    send: Send
    log: LineLog
    clock: Clock
    has_left: HasLeft
    closing: bool = False
    started: bool = False
    finished: bool = False
    client_gone: bool = False
    sends: int = 0
    unsent: int = 0
    on_trial: bool = False
    ran: int = 0
    unbegun: int = 0
    _doubtful: set['asyncio.Task[Fate]'] = field(default_factory=set)
    cut: list[Replica] = field(default_factory=list)
    status: int = 0
    pause: float = 0
    _written: float | None = None
    detail: dict[str, Any] = field(default_factory=dict)
    reject: Reject | None = None

    @property
    def key(self) -> str:
        """A name that is unique while the request is in progress."""
        return f'{id(self):x}'

    def record(self, kind: EventKind, /, **detail: Any) -> None:
        """Write a log line about this request."""
        self.log.record(kind, request=self.identity, **detail)

    def record_end(self, end: AnswerEnd | None) -> None:
        """Record how the end of the answer was recognized, for the log."""
        if end is not None:
            self.detail['end'] = end.value

    def doubt_run(self, replica: Replica, check: 'asyncio.Task[Fate]') -> None:
        """Count a run until a check finds that its replica has ended.

        :param check: looks whether the replica has ended.
        """
        self._doubtful.add(check)
        check.add_done_callback(partial(self._settle_run, replica))

    async def settle_runs(self) -> None:
        """Wait until it is known which runs were lost with their replicas."""
        if self._doubtful:
            await asyncio.wait(self._doubtful)

    def list_cut(self) -> frozenset[str]:
        """List the replicas that may run it again after a lost connection.

        The attempts that a route allows are counted by replica.
        """
        return frozenset(replica.name for replica in self.cut)

    def excuse_runs(self, is_lost: Callable[[Replica], bool]) -> None:
        """Count no runs at replicas from which this node alone was cut off.

        :param is_lost: whether it is cut off from a replica.
        """
        counted = [replica for replica in self.cut if not is_lost(replica)]
        self.ran -= len(self.cut) - len(counted)
        self.cut = counted

    @property
    def begun_runs(self) -> int:
        """Runs that count against the attempts, or will as they end."""
        return self.ran + self.unbegun

    def has_sent(self) -> bool:
        """Whether a replica may have received the request, run or not."""
        return self.sends > self.unsent

    def begin_send(self) -> None:
        """Count an attempt to send the request to an upstream or a node.

        :raises ClientGone: if its client has left.
        """
        self.check_client()
        self.sends += 1

    def check_client(self) -> None:
        """Check that the client is still there.

        :raises ClientGone: if the end of its connection has arrived, even if a
            busy process hasn't read it yet.
        """
        if self.client_gone:
            raise ClientGone
        if self.has_left():
            self.client_gone = True
            self.record(catalogue.SEND_WITHHELD, sends=self.sends)
            raise ClientGone

    async def start(self, status: int, headers: Headers) -> None:
        """Send the headers of the answer."""
        kept = [
            (name, content)
            for name, content in headers
            if name not in _HOP_HEADERS or name == b'content-length'
        ]
        if self.closing:
            kept.append((b'connection', b'close'))
        self.started = True
        self.status = status
        message = {
            'type': 'http.response.start',
            'status': status,
            'headers': kept,
        }
        await self._send_message(message)

    async def write(self, piece: bytes, *, more: bool = True) -> None:
        """Send a piece of the answer's body."""
        now = self.clock.monotonic()
        if piece and self._written is not None:
            self.pause = max(self.pause, now - self._written)
        if piece:
            self._written = now
        message = {
            'type': 'http.response.body',
            'body': piece,
            'more_body': more,
        }
        await self._send_message(message)
        self.finished = not more

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        lengthless = [pair for pair in headers if pair[0] != b'content-length']
        length = (b'content-length', str(len(body)).encode())
        await self.start(status, [*lengthless, length])
        await self.write(body, more=False)

    async def refuse(
        self,
        status: int,
        reason: str,
        *,
        retry_after: float | None = None,
        **detail: Any,
    ) -> None:
        """Send an error answer of this node, and log it.

        :param retry_after: seconds after which the client should retry.
        :param detail: more fields for the log line.
        """
        self.record(
            catalogue.EXCHANGE_REFUSED,
            status=status,
            reason=reason,
            retry_after=retry_after,
            sends=self.sends,
            **detail,
        )
        if self.reject is not None:
            self.started = True
            self.status = status
            await self.reject(status, reason, retry_after)
            self.finished = True
            return
        headers: Headers = [(b'content-type', b'application/json')]
        if retry_after is not None:
            text = f'{retry_after:.2f}'.encode()
            headers.append((b'retry-after', text))
        body = json.dumps({'error': reason}).encode()
        await self.answer(status, headers, body)

    def _settle_run(
        self, replica: Replica, check: 'asyncio.Task[Fate]'
    ) -> None:
        self._doubtful.discard(check)
        if check.cancelled() or check.exception() is not None:
            return
        if check.result() is Fate.ENDED:
            self.ran -= 1
        else:
            self.cut.append(replica)

    async def _send_message(self, message: Message) -> None:
        if self.client_gone:
            raise ClientGone
        await self.send(message)


def round_seconds(seconds: float) -> float:
    """Round a time to milliseconds for a log line."""
    return round(seconds, _DIGITS)
