"""Reports of replicas that take precedence over their registry entries."""

from dataclasses import dataclass, field

from ryelatch_core.fleet import LayerRange, Replica

REPORT_PRECEDENCE_SECONDS = 1.0
"""Minimum time for which a report takes precedence over the registry entry.

A replica updates its entry up to a second after its report. After an outage of
the store, the entry may arrive much later. An entry that contradicts the
report is therefore applied only if the list was also confirmed as current at
a time after the report.
"""


@dataclass(slots=True)
class _Override:
    """A report that contradicts the replica's entry.

    :param layers: according to the entry; the report has others.
    :param at: when the report arrived, in monotonic seconds.
    :param deferred: the last entry received since with the same layers.
    """

    layers: LayerRange | None
    at: float
    deferred: Replica | None = None

    def is_active(self, now: float, confirmed_at: float) -> bool:
        """Whether the report still takes precedence over the entry."""
        return (
            now - self.at <= REPORT_PRECEDENCE_SECONDS
            or confirmed_at <= self.at
        )


@dataclass(eq=False)
class ReportOverrides:
    """Reports that contradict registry entries, by name of the replica."""

    _overrides: dict[str, _Override] = field(default_factory=dict)

    def add(self, name: str, layers: LayerRange | None, now: float) -> None:
        """Record that a report contradicts the layers in a replica's entry.

        :param layers: according to the entry.
        """
        self._overrides[name] = _Override(layers, now)

    def remove(self, name: str) -> None:
        """Stop overriding the entry of a replica."""
        self._overrides.pop(name, None)

    def defer(
        self,
        replica: Replica,
        now: float,
        confirmed_at: float,
    ) -> bool:
        """Defer an entry that a recent report of the replica contradicts.

        :param confirmed_at: when the list was last confirmed as current
            before this entry, in monotonic seconds.
        :returns: whether the entry is deferred.
        """
        override = self._overrides.get(replica.name)
        if override is None or not override.is_active(now, confirmed_at):
            return False
        contradicted = replica.layers == override.layers and not replica.leaving
        override.deferred = replica if contradicted else None
        return contradicted

    def pop_due(self, now: float, confirmed_at: float) -> list[Replica]:
        """Remove the overrides that no longer apply.

        :param confirmed_at: when the list was last confirmed as current, in
            monotonic seconds.
        :returns: the entries that were deferred because of them.
        """
        due = {
            name: override
            for name, override in self._overrides.items()
            if not override.is_active(now, confirmed_at)
        }
        for name in due:
            del self._overrides[name]
        return [
            expired.deferred for expired in due.values() if expired.deferred
        ]
