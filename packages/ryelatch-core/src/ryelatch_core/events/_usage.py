"""Resource usage of processes: calls, requests and processor time."""

import contextlib
import time
import uuid
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from ryelatch_core.events._catalogue import NODE_COSTS
from ryelatch_core.events._explanation import Line

PROCESS = 'process'
"""Activity that denotes all processor time of a process since its start."""

_DIGITS = 4
_INCARNATION_DIGITS = 8


@dataclass(eq=False)
class UsageTracker:
    """Counts the operations and the processor time of a process.

    The name of a count consists of parts joined by slashes, the most general
    part first, such as ``store/servers/watch/steady/empty``. The usage of a
    fleet is summed and listed by these names.

    :param clock: returns the processor time of the process, in seconds.
    :param incarnation: identifier of this run of the process, as the name of a
        process stays the same when it is restarted.
    """

    clock: Callable[[], float] = time.process_time
    incarnation: str = field(
        default_factory=lambda: uuid.uuid4().hex[:_INCARNATION_DIGITS]
    )
    counts: Counter[str] = field(default_factory=Counter)
    seconds: dict[str, float] = field(
        default_factory=lambda: defaultdict(float)
    )

    def __post_init__(self) -> None:
        """Record the processor time at the start."""
        self._started = self.clock()

    def count(self, *parts: str, number: int = 1) -> None:
        """Increase a count.

        :param parts: parts of its name.
        """
        self.counts['/'.join(parts)] += number

    @contextlib.contextmanager
    def measure_time(self, activity: str) -> Iterator[None]:
        """Add the processor time of a block, which must not await anything.

        :param activity: name of the activity that the time is added to.
        """
        started = self.clock()
        try:
            yield
        finally:
            self.seconds[activity] += self.clock() - started

    def list_counts(self) -> dict[str, int]:
        """Return all counts by name."""
        return dict(sorted(self.counts.items()))

    def list_seconds(self) -> dict[str, float]:
        """Return the processor time by activity, and that of the process."""
        spent = {
            name: round(spent, _DIGITS)
            for name, spent in sorted(self.seconds.items())
        }
        return {**spent, PROCESS: round(self.clock() - self._started, _DIGITS)}


@dataclass(frozen=True)
class FleetUsage:
    """Resource usage of all processes together.

    :param incarnations: number of process runs that reported their usage; each
        restart counts as a new run.
    """

    incarnations: int
    counts: Counter[str]
    seconds: dict[str, float]


def sum_usage(lines: Iterable[Line]) -> FleetUsage:
    """Sum the last usage line of each run of each process.

    Each line holds the totals since the start of the process. The usage of a
    killed process is counted up to its last line.
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
