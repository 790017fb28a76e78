"""What processes spend on control: calls, questions, processor time."""

import contextlib
import time
import uuid
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from ryelatch_core.events._catalogue import NODE_COSTS
from ryelatch_core.events._story import Line

PROCESS = 'process'
"""The activity that stands for all of a process's time since its start."""

_DIGITS = 4
_LIFE_DIGITS = 8


@dataclass(eq=False)
class UsageTracker:
    """Counts what is spent, each count by a name of its parts.

    Parts are joined by a slash, the most general one first, such as
    ``store/servers/watch/steady/empty``; a fleet's table is made of them.

    :param clock: processor time of the process, in seconds.
    :param incarnation: tells processes of one name apart that followed each other.
    """

    clock: Callable[[], float] = time.process_time
    incarnation: str = field(default_factory=lambda: uuid.uuid4().hex[:_LIFE_DIGITS])
    counts: Counter[str] = field(default_factory=Counter)
    seconds: dict[str, float] = field(
        default_factory=lambda: defaultdict(float)
    )

    def __post_init__(self) -> None:
        """Begin to count the processor time."""
        self._began = self.clock()

    def count(self, *parts: str, number: int = 1) -> None:
        """Count something that was done."""
        self.counts['/'.join(parts)] += number

    @contextlib.contextmanager
    def measure_time(self, activity: str) -> Iterator[None]:
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
        return {**spent, PROCESS: round(self.clock() - self._began, _DIGITS)}


@dataclass(frozen=True)
class FleetUsage:
    """What all processes together have spent.

    :param incarnations: processes that wrote what they spent, restarts included.
    """

    incarnations: int
    counts: Counter[str]
    seconds: dict[str, float]


def sum_usage(lines: Iterable[Line]) -> FleetUsage:
    """Add up the last account of each life of each process.

    A life that was killed is counted up to its last line.
    """
    latest = {
        (line.process, line.detail.get('life')): line.detail
        for line in lines
        if line.name == NODE_COSTS.name
    }
    counts: Counter[str] = Counter()
    seconds: dict[str, float] = defaultdict(float)
    for detail in latest.values():
        counts.update(detail.get('counts', {}))
        for activity, spent in detail.get('seconds', {}).items():
            seconds[activity] += spent
    return FleetUsage(len(latest), counts, dict(seconds))
