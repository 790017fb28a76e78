"""Entries that went while the store was in trouble, and may come back."""

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class _Span:
    """Monotonic seconds from when an entry is missing to when it has gone."""

    since: float
    until: float


@dataclass(eq=False)
class MissingEntries:
    """Names of replicas whose entries are missing, each until some time.

    The time is set once: trouble that goes on, or comes again, keeps no entry
    in use for longer.
    """

    _spans: dict[str, _Span] = field(default_factory=dict)

    def add(self, name: str, since: float, until: float) -> bool:
        """Note that an entry is missing.

        :returns: whether that is new.
        """
        new = name not in self._spans
        self._spans.setdefault(name, _Span(since, until))
        return new

    def forget(self, name: str) -> bool:
        """Note that an entry is back, or has gone.

        :returns: whether it was missing.
        """
        return self._spans.pop(name, None) is not None

    def pass_on(self, name: str, successor: str) -> None:
        """Let a later life under the same entry be missing for as long."""
        span = self._spans.get(name)
        if span is not None:
            self._spans.setdefault(successor, span)

    def list_due(self, now: float) -> list[str]:
        """List those that have not come back in time."""
        return [name for name, one in self._spans.items() if one.until <= now]

    def find_longest(self, names: Iterable[str], now: float) -> float:
        """Tell for how many seconds the longest of some has been missing."""
        found = (self._spans.get(name) for name in names)
        return max((now - one.since for one in found if one), default=0)
