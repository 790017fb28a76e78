"""An event loop whose clock jumps to the next scheduled callback."""

import asyncio
from collections.abc import Coroutine
from typing import Any


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time, which advances only in jumps."""

    # asyncio has no public hook for advancing the time of a loop.
    _ready: Any
    _scheduled: Any

    def __init__(self) -> None:
        super().__init__()
        self._now = 1000.0

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def freeze(self, seconds: float) -> None:
        """Advance the time without running callbacks, as without a CPU."""
        self._now += seconds

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self._now = max(self._now, self._scheduled[0].when())
        super()._run_once()  # type: ignore[misc]


class VirtualClock:
    """A clock for nodes that shows the time of the running loop."""

    def wall(self) -> float:
        """Return the same time as the monotonic clock."""
        return self.monotonic()

    def monotonic(self) -> float:
        """Return the time of the running loop in seconds."""
        return asyncio.get_running_loop().time()


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to completion in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main)
