"""Whether a connection of a client is read."""

import asyncio

from uvicorn.protocols.http.flow_control import FlowControl


class HeldFlow(FlowControl):
    """Reads nothing while it is held, whatever the HTTP library asks for.

    The library resumes reading whenever a request waits for its client to
    leave, also while further requests wait behind it.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__(transport)
        self.held = False

    def hold(self) -> None:
        """Read nothing from now on."""
        self.held = True
        self.pause_reading()

    def let_go(self) -> None:
        """Read again."""
        self.held = False
        self.resume_reading()

    def give_way(self) -> None:
        """Let the other connections be read before this one goes on.

        The event loop reads a connection many times in a row while more of it
        has arrived.
        """
        if not self.read_paused and not self._transport.is_closing():
            self._transport.pause_reading()
            asyncio.get_running_loop().call_soon(self._go_on)

    def resume_reading(self) -> None:
        """Read again, unless reading is held."""
        if not self.held:
            super().resume_reading()

    def _go_on(self) -> None:
        if not self.read_paused and not self._transport.is_closing():
            self._transport.resume_reading()
