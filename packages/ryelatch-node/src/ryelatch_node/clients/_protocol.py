"""Bounds on what all connections of clients take together."""

import asyncio
import functools
from collections import deque
from http import HTTPStatus
from typing import Any

from starlette.types import ASGIApp, Receive, Scope, Send
from uvicorn._types import ASGI3Application
from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

from ryelatch_core.events import catalogue
from ryelatch_node.clients._answers import AnswerWriter
from ryelatch_node.clients._measured import MeasuredProtocol
from ryelatch_node.clients._memory import Charge
from ryelatch_node.clients._refusals import NO_ROOM, make_refusing_app
from ryelatch_node.clients._resources import ClientResources
from ryelatch_node.clients._stillness import StillnessMeter

REQUEST_BYTES = 32_768
"""Estimated memory of a request in progress, and of its connections."""

HEADER_LINE_BYTES = 400
"""Estimated memory of a header line, besides its text."""

TEXT_COPIES = 3
"""Copies of the text of a path or header line: received, decoded, sent."""

BODY_COPIES = 2
"""Copies of a body: in parts as they were received, and whole."""

UNSENT_BYTES = 16_384
"""Bytes of an answer that wait for the client before the answer has to."""

SLACK_SECONDS = 1.0
"""Time after which a timer is taken to be missing."""

_OVERLOADED = HTTPStatus.SERVICE_UNAVAILABLE


class BoundedProtocol(MeasuredProtocol):
    """One of the connections of clients, which share memory and descriptors.

    :param resources: what they share.
    """

    def __init__(
        self, *arguments: Any, resources: ClientResources, **options: Any
    ) -> None:
        super().__init__(
            *arguments,
            read_limits=resources.read_limits,
            record=resources.record,
            **options,
        )
        self._connections = resources.connections
        self._memory = resources.memory
        self._receiving = resources.memory.open_charge(self)
        self._received: deque[Charge] = deque()
        self._uncharged = 0
        self._stillness = StillnessMeter(self._connections.now())

    def connection_made(
        self,
        transport: asyncio.Transport,  # type: ignore[override]
    ) -> None:
        """Count the connection, if there is room for it."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=UNSENT_BYTES)
        if self._connections.make_room():
            self._connections.add(self)
        else:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Count it no more, and release what its requests took."""
        self._connections.discard(self)
        self._release()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Record that the client leaves a part of its answer unread."""
        super().pause_writing()
        self._connections.record_reading(self, unread=True)

    def resume_writing(self) -> None:
        """Record that the client reads on."""
        super().resume_writing()
        self._connections.record_reading(self, unread=False)

    @property
    def taken(self) -> int:
        """Estimated memory of what it has received and isn't served yet."""
        waiting = sum(charge.size for charge in self._received)
        return self._receiving.size + waiting

    def on_message_begin(self) -> None:
        """Begin to count the memory of a request."""
        super().on_message_begin()
        self._uncharged = 0
        self._receiving = self._memory.open_charge(self)

    def on_url(self, url: bytes) -> None:
        """Count the memory of a part of the path."""
        super().on_url(url)
        self._uncharged += TEXT_COPIES * len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count the memory of a line."""
        super().on_header(name, value)
        text_bytes = len(name) + len(value)
        self._uncharged += HEADER_LINE_BYTES + TEXT_COPIES * text_bytes

    def on_headers_complete(self) -> None:
        """Serve the request, if there is room for its header."""
        self._charge_header()
        if not self.is_over:
            self._received.append(self._receiving)
        super().on_headers_complete()

    def pass_body(self) -> None:
        """Pass on what was received of a body, if there is room for it."""
        size = sum(len(part) for part in self._parts)
        if size and not self._receiving.released:
            self._charge(BODY_COPIES * size)
        super().pass_body()

    def on_message_complete(self) -> None:
        """Exempt the connection from eviction while it is served."""
        super().on_message_complete()
        self._update_serving()

    def on_response_complete(self) -> None:
        """Count the connection among those without a request."""
        super().on_response_complete()
        self._stillness.idle_since = self._connections.now()
        self._update_serving()

    def data_received(self, data: bytes) -> None:
        """Parse what was read, and count an incomplete header."""
        super().data_received(data)
        if not self.is_over:
            self._charge_header()

    def evict(self) -> None:
        """Close the connection, as others need the room."""
        self._record(
            catalogue.CONNECTION_EVICTED,
            client=self.client,
            connections=len(self._connections),
            requests=self._connections.requests,
            memory=self._memory.used,
        )
        self._release()
        if self._splitter.has_begun and not self._splitter.has_head:
            # Its end is processed after all that others have sent by now.
            self.headers.clear()
        unsent = self.transport.get_write_buffer_size()
        if self._splitter.has_begun or self.is_answering or unsent:
            self.transport.abort()
        else:
            self.transport.close()

    def check(self, now: float) -> None:
        """Close the connection if it has stood still for too long.

        :param now: in monotonic seconds.
        """
        limits = self._read_limits()
        idle_limit = limits.idle_seconds + limits.header_seconds + SLACK_SECONDS
        running = self._running
        served = running is not None and not running.response_complete
        unsent = self.transport.get_write_buffer_size()
        stuck = self._stillness.has_stuck_output(
            now, unsent, limits.idle_seconds
        )
        if self.transport.is_closing():
            stuck = self._stillness.is_stuck_closing(now)
        if stuck:
            self.transport.abort()
        elif not served and self._stillness.is_idle(now, idle_limit):
            self.transport.close()

    def _start_asgi_task(
        self, cycle: RequestResponseCycle, app: ASGI3Application
    ) -> None:
        charge = self._received.popleft()
        # Whoever needs room doesn't make it for itself.
        self._connections.record_serving(self, serving=True)
        serve: ASGIApp
        if self._connections.make_room() and charge.grow(REQUEST_BYTES):
            serve = self._make_counted(charge, app)
        else:
            charge.release()
            self.record_refusal(_OVERLOADED, NO_ROOM)
            serve = make_refusing_app(_OVERLOADED, NO_ROOM)
        super()._start_asgi_task(cycle, serve)  # type: ignore[arg-type]
        self._update_serving()

    def _make_counted(self, charge: Charge, app: ASGI3Application) -> ASGIApp:
        """Count a request while an application serves it."""
        self._connections.requests += 1
        writer = AnswerWriter(
            charge, lambda: self.flow.write_paused, self.evict
        )

        async def serve(scope: Scope, receive: Receive, send: Send) -> None:
            write = functools.partial(writer.write, send)
            try:
                await app(scope, receive, write)  # type: ignore[arg-type]
            finally:
                self._connections.requests -= 1
                charge.release()

        return serve

    def _charge_header(self) -> None:
        """Count the lines that were received since the last time."""
        cost = self._uncharged
        self._uncharged = 0
        if cost and not self._receiving.released:
            self._charge(cost)

    def _charge(self, size: int) -> None:
        if not self._receiving.grow(size):
            self.reject(_OVERLOADED, NO_ROOM)

    def _release(self) -> None:
        """Release what is received or waits; what is served counts on."""
        self._receiving.release()
        while self._received:
            self._received.popleft().release()

    def _update_serving(self) -> None:
        self._connections.record_serving(self, serving=self.is_answering)
