"""Relays the requests of other nodes that have lost their links to replicas."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, replace

from starlette.types import Message

from ryelatch_core.events import catalogue
from ryelatch_core.kernel import LagMeter, cancel_task
from ryelatch_node.connections import has_ended
from ryelatch_node.forwarding import ALIVE_SECONDS
from ryelatch_node.peer_sync import (
    ForwardAlive,
    ForwardPiece,
    ForwardRefused,
    ForwardReply,
    ForwardRequest,
    ForwardStart,
    encode,
)
from ryelatch_node.relay._admission import ReceivedRequest, Refusal, admit
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._errors import ClientGone
from ryelatch_node.relay._exchange import (
    AdmittedRequest,
    Exchange,
    round_seconds,
)
from ryelatch_node.relay._ingress import Ingress

MAX_REQUESTS = 128
"""Requests of other nodes that a node serves at a time.

Of a fleet of eight, one node serves the others' usual traffic with 64.
"""

LATE_MAX_REQUESTS = 32
"""The same within ``LATE_SECONDS`` after this process ran late.

Its own clients come first when it is short of processor time, but a request
that nobody serves is worse than a late one.
"""

LATE_SECONDS = 1.0
"""Time for which a node that ran late counts as short of processor time."""

OLDER_RETRY_SECONDS = 0.1
"""Retry-After if the configuration of the origin isn't known here yet."""

_UNAVAILABLE = 503


@dataclass(eq=False)
class _Connection:
    """The connection of a node that forwards a request.

    Looks like the connection of a client to the code that relays requests.

    :param reaches: whether this node reaches the replicas of the service.
    :param count_runs: counts the runs here against the attempts of the route.
    :param has_sent: whether a replica may have received the request.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    reaches: Callable[[], bool]
    count_runs: Callable[[], int] = int
    has_sent: Callable[[], bool] = bool

    async def receive(self) -> Message:
        """Wait until the node closes the connection.

        It sends nothing while its request is in progress.
        """
        # A reset ends the request as well.
        with contextlib.suppress(OSError):
            await self.reader.read(1)
        return {'type': 'http.disconnect'}

    def has_left(self) -> bool:
        """Whether the node has closed the connection, read or not."""
        return self.reader.at_eof() or has_ended(self.writer.transport)

    async def send(self, message: Message) -> None:
        """Send a part of an answer.

        :raises ClientGone: if the connection is lost.
        """
        if message['type'] == 'http.response.start':
            headers = tuple(message['headers'])
            await self.write(ForwardStart(message['status'], headers))
        else:
            last = not message['more_body']
            await self.write(ForwardPiece(message['body'], last))

    async def refuse(
        self, status: int, reason: str, retry_after: float | None
    ) -> None:
        """Send that this node ends the request with an error."""
        await self.write(
            ForwardRefused(
                status,
                reason,
                retry_after,
                self.reaches(),
                self.count_runs(),
                self.has_sent(),
            )
        )

    async def write(self, reply: ForwardReply) -> None:
        """Send a message.

        :raises ClientGone: if the connection is lost.
        """
        self.writer.write(encode(reply))
        try:
            await self.writer.drain()
        except OSError as error:
            raise ClientGone from error

    async def keep_alive(self) -> None:
        """Tell the node again and again that its request is in progress."""
        while not self.writer.is_closing():
            if not self.writer.transport.get_write_buffer_size():
                self.writer.write(encode(ForwardAlive(self.count_runs())))
            await asyncio.sleep(ALIVE_SECONDS)


@dataclass(eq=False)
class ForwardServer:
    """Serves forwarded requests, as far as this node has room.

    :param lag: records when this process ran late.
    :param in_progress: forwarded requests that are being served.
    """

    context: RelayContext
    ingress: Ingress
    lag: LagMeter
    in_progress: int = 0

    def get_room(self) -> int:
        """Return how many more requests of other nodes are accepted."""
        if self.ingress.stop_state.closing:
            return 0
        late = self.lag.was_late(self.context.now() - LATE_SECONDS)
        limit = min(LATE_MAX_REQUESTS, MAX_REQUESTS) if late else MAX_REQUESTS
        return max(0, limit - self.in_progress)

    async def serve(
        self,
        forwarded: ForwardRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve a request to its end.

        :raises EOFError: if its answer is incomplete.
        """
        links = self.context.links
        connection = _Connection(
            reader, writer, lambda: links.reaches(forwarded.service)
        )
        try:
            if self.get_room() > 0:
                await self._serve_alive(forwarded, connection)
            else:
                await connection.refuse(
                    _UNAVAILABLE, 'this node has no room', 0
                )
        except Exception as error:
            # The code that relays has logged it. The end of the connection
            # shows the other node that its request has no answer.
            raise EOFError from error

    async def _serve_alive(
        self, forwarded: ForwardRequest, connection: _Connection
    ) -> None:
        alive = asyncio.create_task(connection.keep_alive())
        self.in_progress += 1
        try:
            await self._serve(forwarded, connection)
        finally:
            self.in_progress -= 1
            await cancel_task(alive)

    async def _serve(
        self, forwarded: ForwardRequest, connection: _Connection
    ) -> None:
        request = self._admit(forwarded)
        if isinstance(request, Refusal):
            await connection.refuse(
                request.status, request.reason, request.retry_after
            )
            return
        exchange = Exchange(
            request.terms.identity,
            connection.send,
            self.context.log,
            self.context.clock,
            connection.has_left,
            ran=forwarded.ran,
            reject=connection.refuse,
        )
        connection.count_runs = lambda: exchange.begun_runs - forwarded.ran
        connection.has_sent = exchange.has_sent
        exchange.detail['origin'] = forwarded.origin
        exchange.record(
            catalogue.FORWARD_TAKEN,
            origin=forwarded.origin,
            service=request.service,
            elapsed=round_seconds(forwarded.elapsed),
            left=round_seconds(request.deadline - self.context.now()),
            last_event=forwarded.last_event,
        )
        await self.ingress.relay(exchange, request, connection.receive)
        if not exchange.finished:
            # The end of the connection shows that the answer is incomplete.
            raise EOFError

    def _admit(self, forwarded: ForwardRequest) -> AdmittedRequest | Refusal:
        """Decide whether to serve a request, as for a client of this node.

        A configuration older than that of the origin could send it to a
        service that its route has left.
        """
        if self.context.configuration.version < forwarded.version:
            return Refusal(
                _UNAVAILABLE, 'older configuration', OLDER_RETRY_SECONDS
            )
        received = self._receive(forwarded)
        admitted = admit(self.context, self.ingress.stop_state, received)
        if isinstance(admitted, Refusal):
            return admitted
        return replace(admitted, origin=forwarded.origin)

    def _receive(self, forwarded: ForwardRequest) -> ReceivedRequest:
        """Build the request as if it had come from the client itself."""
        headers = list(forwarded.headers)
        terms = self.context.wire.read_request(headers)
        if forwarded.last_event is not None:
            terms = replace(terms, last_event=forwarded.last_event)
        scope = {
            'method': forwarded.method,
            'raw_path': forwarded.path,
            'query_string': forwarded.query,
            'headers': headers,
        }
        received_at = self.context.now() - forwarded.elapsed
        return ReceivedRequest(
            scope, terms, forwarded.body, received_at, forwarded.service
        )
