"""Registry entries that went missing during store trouble and may return."""

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class _Span:
    """Time in monotonic seconds for which a missing entry is kept in use.

    :param since: when the entry went missing.
    :param until: when the replica is dropped unless the entry is back.
    """

    since: float
    until: float


@dataclass(eq=False)
class MissingEntries:
    """Names of replicas whose entries are missing, each with a deadline.

    Trouble that goes on, or comes again, doesn't defer the deadline. Only a
    better account of the outage in which the entry may have expired does.
    """

    _spans: dict[str, _Span] = field(default_factory=dict)

    def add(self, name: str, since: float, until: float) -> bool:
        """Record that an entry is missing.

        :returns: whether that is new.
        """
        new = name not in self._spans
        self._spans.setdefault(name, _Span(since, until))
        return new

    def extend(self, since: float, until: float) -> int:
        """Defer the deadline of entries that went missing after some time.

        Entries that went missing before keep theirs.

        :returns: how many are kept for longer.
        """
        extended = {
            name: _Span(span.since, until)
            for name, span in self._spans.items()
            if span.since >= since and span.until < until
        }
        self._spans |= extended
        return len(extended)

    def forget(self, name: str) -> bool:
        """Remove an entry that is back, or whose replica is dropped.

        :returns: whether it was missing.
        """
        return self._spans.pop(name, None) is not None

    def transfer(self, name: str, successor: str) -> None:
        """Apply the deadline to a later incarnation under the same entry."""
        span = self._spans.get(name)
        if span is not None:
            self._spans.setdefault(successor, span)

    def list_due(self, now: float) -> list[str]:
        """List the names whose deadline has passed."""
        return [name for name, span in self._spans.items() if span.until <= now]

    def find_longest(self, names: Iterable[str], now: float) -> float:
        """Return the longest time for which any of some has been missing.

        :returns: seconds; 0 if none of them is missing.
        """
        found = (self._spans.get(name) for name in names)
        return max((now - span.since for span in found if span), default=0)
