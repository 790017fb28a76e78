"""Reads the crashes that other nodes have seen before a part is refused."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ryelatch_core.events import LineLog
from ryelatch_core.kernel import Clock
from ryelatch_core.quarantine import SETTLE_SECONDS, StoredCrashes
from ryelatch_node.ports import QuarantineStore
from ryelatch_node.tasks import Tasks

READ_DELAY_SECONDS = 0.6
"""Time from a node's last crash until it reads what others have written.

Reports of the same crash arrive within it, and the read leaves time before the
part is judged.
"""

_RETRY_SECONDS = 0.1


@dataclass(eq=False)
class ReportReader:
    """Reads all reports if this node alone has seen a part's crashes.

    A watch that waits for changes does not show that there are none: the store
    may have fallen silent, or the first watch of a node has not begun.

    :param find_due: returns when the part had enough crashes, in monotonic
        seconds; ``None`` if no part needs a read.
    :param apply: called with the reports, and when they were asked for.
    """

    log: LineLog
    clock: Clock
    store: QuarantineStore
    find_due: Callable[[], float | None]
    apply: Callable[[Iterable[StoredCrashes], float], None]
    _reading: bool = False
    _tasks: Tasks = field(init=False)

    def __post_init__(self) -> None:
        """Create the background tasks."""
        self._tasks = Tasks(self.log, 'reports of crashes')

    def check(self) -> None:
        """Begin to read if a part needs it."""
        if not self._reading and self.find_due() is not None:
            self._reading = True
            self._tasks.spawn(self._read())

    async def stop(self) -> None:
        """Stop reading."""
        await self._tasks.stop()

    def _is_due(self) -> bool:
        """Whether a part needs a read and has not been judged."""
        since = self.find_due()
        now = self.clock.monotonic()
        return since is not None and now <= since + SETTLE_SECONDS

    def _compute_delay(self) -> float:
        """Compute the time until the next read, in seconds."""
        since = self.find_due() or 0
        left = since + READ_DELAY_SECONDS - self.clock.monotonic()
        return max(_RETRY_SECONDS, left)

    async def _read(self) -> None:
        """Read until an answer comes, or until the part has been judged."""
        try:
            while self._is_due():
                await asyncio.sleep(self._compute_delay())
                sent = self.clock.monotonic()
                reports = await self.store.read_all()
                if reports is not None:
                    self.apply(reports, sent)
        finally:
            self._reading = False
