"""One request of a client, from its head to its final answer."""

import json
from dataclasses import dataclass, field
from typing import Any

from starlette.types import Message, Send

from ryelatch_core.events import EventKind, LineLog, catalogue
from ryelatch_core.kernel import Clock
from ryelatch_core.routing import RetryPolicy, Route
from ryelatch_node.ports import Headers, RequestTerms
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


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """What a client asks for.

    :param target: path and query, byte for byte.
    :param arrived: when its head came, in seconds.
    :param ends: when it must have its final answer.
    :param account: name of its client account; empty if anonymous.
    :param digest: the same for each request that asks for the same.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    terms: RequestTerms
    route: Route
    service: str
    account: str
    arrived: float
    ends: float
    version: int
    digest: str

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self.route.retry_policy is not RetryPolicy.NEVER


@dataclass(slots=True)
class Exchange:
    """The state of one request.

    :param closing: whether the connection ends with this answer.
    :param sends: upstreams that it was sent to.
    :param ran: upstreams that may have run it.
    :param pause: longest seconds between two pieces of the answer.
    """

    identity: str
    send: Send
    log: LineLog
    clock: Clock
    closing: bool = False
    started: bool = False
    ended: bool = False
    left: bool = False
    sends: int = 0
    ran: int = 0
    status: int = 0
    pause: float = 0
    _written: float | None = None
    detail: dict[str, Any] = field(default_factory=dict)

    def record(self, kind: EventKind, /, **detail: Any) -> None:
        """Write a line about this request."""
        self.log.record(kind, request=self.identity, **detail)

    async def start(self, status: int, headers: Headers) -> None:
        """Begin the answer."""
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
        await self._pass(message)

    async def write(self, piece: bytes, *, more: bool = True) -> None:
        """Pass on a part of the body."""
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
        await self._pass(message)
        self.ended = not more

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Give a whole answer."""
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
        """Give an answer of this node's own.

        :param retry_after: seconds after which a place is expected.
        """
        headers: Headers = [(b'content-type', b'application/json')]
        if retry_after is not None:
            text = f'{retry_after:.2f}'.encode()
            headers.append((b'retry-after', text))
        body = json.dumps({'error': reason}).encode()
        self.record(
            catalogue.EXCHANGE_REFUSED,
            status=status,
            reason=reason,
            retry_after=retry_after,
            sends=self.sends,
            **detail,
        )
        await self.answer(status, headers, body)

    async def _pass(self, message: Message) -> None:
        if self.left:
            raise ClientGone
        await self.send(message)


def round_seconds(seconds: float) -> float:
    """Shorten a time for a log line."""
    return round(seconds, _DIGITS)
