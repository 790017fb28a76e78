"""What a process spends on control: calls, questions, processor time."""

import contextlib
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

_DIGITS = 4


@dataclass(eq=False)
class CostBook:
    """Counts what is spent, each count by a name of its parts.

    Parts are joined by a slash, the field's most general one first, such as
    ``store/servers/watch/steady/empty``; a fleet's table is made of them.

    :param clock: processor time of the process, in seconds.
    """

    clock: Callable[[], float] = time.process_time
    counts: Counter[str] = field(default_factory=Counter)
    seconds: dict[str, float] = field(
        default_factory=lambda: defaultdict(float)
    )

    def count(self, *parts: str, number: int = 1) -> None:
        """Count something that was done."""
        self.counts['/'.join(parts)] += number

    @contextlib.contextmanager
    def spend(self, activity: str) -> Iterator[None]:
        """Add the processor time of a block that does not wait.

        :param activity: what it is spent on.
        """
        began = self.clock()
        try:
            yield
        finally:
            self.seconds[activity] += self.clock() - began

    def list_counts(self) -> dict[str, int]:
        """List all counts by name."""
        return dict(sorted(self.counts.items()))

    def list_seconds(self) -> dict[str, float]:
        """List the processor time by activity, and of the whole process."""
        spent = {
            name: round(spent, _DIGITS)
            for name, spent in sorted(self.seconds.items())
        }
        return {**spent, 'process': round(self.clock(), _DIGITS)}
