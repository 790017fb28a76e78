"""Records how long processes of a soak waited for a processor.

A node or a replica that gets no processor time looks like one that is silent,
and no node can prevent that. The operating system counts the time for which a
process was ready to run and did not.
"""

import asyncio
import os
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

SOAK = ''
"""Name of the soak's own process, in which the clients and replicas run."""

_SAMPLE_SECONDS = 0.05
_NANOSECONDS = 1_000_000_000


@dataclass(frozen=True)
class _Sample:
    """Time that a process waited between two readings.

    :param start: when the first reading was made.
    :param end: when the second reading was made.
    """

    start: float
    end: float
    waited: float

    def compute_wait(self, start: float, end: float) -> float:
        """Compute the part of the wait that certainly lies in a time."""
        outside = max(0, start - self.start) + max(0, self.end - end)
        return max(0, self.waited - outside)


def read_wait(pid: int) -> float | None:
    """Read for how many seconds a process has waited for a processor so far.

    :returns: ``None`` if it has ended, or if the system doesn't count that.
    """
    try:
        text = Path(f'/proc/{pid}/schedstat').read_text()
    except OSError:
        return None
    return int(text.split()[1]) / _NANOSECONDS


@dataclass(eq=False)
class Lateness:
    """Waits for a processor, by the names of the processes.

    :param list_processes: returns the processes by name.
    :param read: reads how long a process has waited so far.
    """

    list_processes: Callable[[], dict[str, int]]
    read: Callable[[int], float | None] = read_wait
    _samples: dict[str, list[_Sample]] = field(
        default_factory=lambda: defaultdict(list)
    )
    _latest: dict[int, tuple[float, float]] = field(default_factory=dict)

    async def run(self) -> None:
        """Read all processes at short intervals, until it is cancelled."""
        while True:
            self.sample(asyncio.get_running_loop().time())
            await asyncio.sleep(_SAMPLE_SECONDS)

    def sample(self, now: float) -> None:
        """Read all processes once."""
        for name, pid in {SOAK: os.getpid(), **self.list_processes()}.items():
            waited = self.read(pid)
            if waited is None:
                continue
            if pid in self._latest:
                at, before = self._latest[pid]
                if waited > before:
                    sample = _Sample(at, now, waited - before)
                    self._samples[name].append(sample)
            self._latest[pid] = now, waited

    def compute_wait(self, name: str, start: float, end: float) -> float:
        """Compute for how long a process or the soak waited at least.

        Waits of both may be at the same time, so the longer one counts.
        """
        return max(
            sum(self._list_waits(process, start, end))
            for process in (name, SOAK)
        )

    def _list_waits(
        self, name: str, start: float, end: float
    ) -> Iterator[float]:
        for sample in self._samples[name]:
            if sample.start < end and sample.end > start:
                yield sample.compute_wait(start, end)
