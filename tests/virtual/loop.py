"""An event loop whose clock jumps to whatever comes next."""

import asyncio
from collections.abc import Coroutine
from typing import Any


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop without sockets of its own, on which time passes only in jumps."""

    # The library's loop has no public place from which to jump.
    _ready: Any
    _scheduled: Any

    def __init__(self) -> None:
        super().__init__()
        self._now = 1000.0

    def time(self) -> float:
        """Tell the virtual time in seconds."""
        return self._now

    def freeze(self, seconds: float) -> None:
        """Let time pass in which nothing runs, as without a processor."""
        self._now += seconds

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self._now = max(self._now, self._scheduled[0].when())
        super()._run_once()  # type: ignore[misc]


class VirtualClock:
    """The clock of the product, on the loop that runs."""

    def wall(self) -> float:
        """Tell the same as the other clock."""
        return self.monotonic()

    def monotonic(self) -> float:
        """Tell the loop's time."""
        return asyncio.get_running_loop().time()


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run to the end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main)
