"""The bounded in-memory record of the events of a process."""

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
    """An event in one process.

    :param stamp: position in the common order of events.
    :param process: name of the process.
    :param detail: fields by name, all as text.
    """

    stamp: Stamp
    process: str
    number: int
    name: str
    detail: Mapping[str, str] = field(default_factory=dict)


class Timeline:
    """Records events in a ring buffer, counts them, and logs them.

    VMs have no persistent storage, so the events are lost with the process
    unless ``ryelatch timeline`` reads them before.
    """

    def __init__(self, process: str, clock: HybridClock) -> None:
        self.clock = clock
        self.counts: Counter[str] = Counter()
        self._process = process
        self._ring: deque[Event] = deque(maxlen=_CAPACITY)

    def record(self, kind: EventKind, **detail: object) -> Event:
        """Add an event.

        :param detail: fields that describe the event.
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
        """List the events whose fields have the given values."""
        return [
            event
            for event in self._ring
            if all(
                event.detail.get(name) == text for name, text in wanted.items()
            )
        ]


def merge_events(lists: Iterable[Iterable[Event]]) -> list[Event]:
    """Merge the events of several processes in their common order."""
    return sorted(
        itertools.chain.from_iterable(lists),
        key=lambda event: (event.stamp, event.process),
    )
