"""The bounded memory of what a process did."""

import itertools
from collections import Counter, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from absl import logging

from ryelatch_core.events._catalogue import EventKind, Level
from ryelatch_core.events._clock import HybridClock, Stamp

_CAPACITY = 4096

_LOGGERS = MappingProxyType(
    {
        Level.INFO: logging.info,
        Level.WARNING: logging.warning,
        Level.ERROR: logging.error,
    }
)


@dataclass(frozen=True)
class Event:
    """Something that happened in one process.

    :param stamp: its place on the common time line.
    :param process: the name of the process.
    :param detail: fields by name; all are text.
    """

    stamp: Stamp
    process: str
    number: int
    name: str
    detail: Mapping[str, str] = field(default_factory=dict)


class Timeline:
    """Records events in a ring, counts them, and logs them.

    VMs keep nothing, so what the ring holds is lost with the process, and
    what must outlive it is read by ``ryelatch timeline`` before.
    """

    def __init__(self, process: str, clock: HybridClock) -> None:
        self.clock = clock
        self.counts: Counter[str] = Counter()
        self._process = process
        self._ring: deque[Event] = deque(maxlen=_CAPACITY)

    def record(self, kind: EventKind, **detail: object) -> Event:
        """Add an event.

        :param detail: the fields that make this event tell its story.
        """
        texts = {name: str(entry) for name, entry in detail.items()}
        event = Event(
            self.clock.stamp(), self._process, kind.number, kind.name, texts
        )
        self._ring.append(event)
        self.counts[kind.name] += 1
        pairs = ' '.join(f'{name}={text}' for name, text in texts.items())
        _LOGGERS[kind.level]('RL%d %s %s', kind.number, kind.name, pairs)
        return event

    def list_events(self, **wanted: str) -> list[Event]:
        """List the events whose fields have the given texts."""
        return [
            event
            for event in self._ring
            if all(
                event.detail.get(name) == text for name, text in wanted.items()
            )
        ]


def merge_events(lists: Iterable[Iterable[Event]]) -> list[Event]:
    """Merge the events of several processes into one line of time."""
    return sorted(
        itertools.chain.from_iterable(lists),
        key=lambda event: (event.stamp, event.process),
    )
