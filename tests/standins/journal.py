"""What was written to a stand-in store, and when, to come back from a copy."""

import asyncio
import bisect
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True)
class Entry:
    """A write of an object.

    :param at: time of the running loop, in seconds.
    :param spec: content; None if the object was deleted.
    :param by_node: whether a node wrote it, and not an operator or a replica.
    """

    at: float
    revision: int
    kind: str
    name: str
    spec: Any
    by_node: bool


@dataclass
class Journal:
    """All writes, in their order."""

    _entries: list[Entry] = field(default_factory=list)

    def add(
        self, revision: int, kind: str, name: str, spec: Any, *, by_node: bool
    ) -> None:
        """Add a write that takes effect now."""
        try:
            at = asyncio.get_running_loop().time()
        except RuntimeError:
            at = 0  # Written before the loop runs.
        self._entries.append(Entry(at, revision, kind, name, spec, by_node))

    def cut(self, until: float) -> tuple[list[Entry], list[Entry]]:
        """Lose all writes after a time.

        :returns: the writes that are left, and the lost ones of operators and
            replicas.
        """
        kept = bisect.bisect_right(self._entries, until, key=_get_time)
        lost = self._entries[kept:]
        del self._entries[kept:]
        return list(self._entries), [
            entry for entry in lost if not entry.by_node
        ]

    def list_unreplaced(self, lost: list[Entry]) -> list[Entry]:
        """List the lost writes of objects that weren't written since.

        :param lost: writes that :meth:`cut` returned.
        """
        # What is left is older than all of them, or is from after the return.
        earliest = min((entry.at for entry in lost), default=0)
        written = {
            (entry.kind, entry.name)
            for entry in self._entries
            if entry.at >= earliest and not entry.by_node
        }
        return [
            entry for entry in lost if (entry.kind, entry.name) not in written
        ]


def _get_time(entry: Entry) -> float:
    return entry.at
