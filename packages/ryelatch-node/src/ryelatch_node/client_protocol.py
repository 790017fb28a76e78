"""Answers to clients: only a complete one looks complete.

To a client of HTTP/1.0, which knows no chunks, an answer without a length ends
with its connection. Only an orderly end may tell it that the answer is
complete: one that can't be completed is reset, and so is one whose node stops
or is killed.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeAlias

from starlette.types import Message, Receive, Scope, Send
from uvicorn._types import ASGI3Application
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from ryelatch_node.connections import set_reset_at_close

_CHUNKS_SINCE = '1.1'

_Application: TypeAlias = Callable[[Scope, Receive, Send], Awaitable[None]]


class ClientProtocol(HttpToolsProtocol):
    """The HTTP protocol of one client connection.

    The library sends chunks to all clients, also to those that know none.
    """

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._running: RequestResponseCycle | None = None

    def send_400_response(self, msg: str) -> None:
        """Refuse bytes that are no request.

        In the middle of an answer, the refusal would be a part of its body.
        """
        running = self._running
        if (
            running is not None
            and running.response_started
            and not running.response_complete
        ):
            self.transport.abort()
        else:
            super().send_400_response(msg)

    def _start_asgi_task(
        self, cycle: RequestResponseCycle, app: ASGI3Application
    ) -> None:
        self._running = cycle
        if cycle.scope['http_version'] < _CHUNKS_SINCE:
            answer = _UnchunkedAnswer(app, cycle)  # type: ignore[arg-type]
            super()._start_asgi_task(cycle, answer.serve)  # type: ignore[arg-type]
        else:
            super()._start_asgi_task(cycle, app)


@dataclass(eq=False)
class _UnchunkedAnswer:
    """An answer that ends with its connection if it has no length.

    :param cycle: the library's state of the request and its answer.
    :param lengthless: whether the answer has started and has no length.
    """

    app: _Application
    cycle: RequestResponseCycle
    lengthless: bool = False

    async def serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve a request, and reset its connection if it isn't answered."""

        async def send_unchunked(message: Message) -> None:
            await self._send(message, send)

        try:
            await self.app(scope, receive, send_unchunked)
        finally:
            if self.lengthless and not self.cycle.response_complete:
                self.cycle.transport.abort()

    async def _send(self, message: Message, send: Send) -> None:
        cycle = self.cycle
        if message['type'] == 'http.response.start':
            self._start(message)
        elif self.lengthless:
            # The library compares the body with a length.
            cycle.expected_content_length = len(message.get('body', b''))
            if not message.get('more_body', False):
                await send({**message, 'more_body': True})
                await self._end()
                message = {**message, 'body': b''}
        await send(message)

    def _start(self, message: Message) -> None:
        names = {name.lower() for name, _ in message.get('headers', ())}
        if b'content-length' in names:
            return
        self.lengthless = True
        self.cycle.chunked_encoding = False
        set_reset_at_close(self.cycle.transport, resets=True)

    async def _end(self) -> None:
        """Allow an orderly end, once the system has the complete answer.

        What this process still holds is lost if it ends.
        """
        transport = self.cycle.transport
        transport.set_write_buffer_limits(high=0)
        await self.cycle.flow.drain()
        if not self.cycle.disconnected:
            set_reset_at_close(transport, resets=False)
