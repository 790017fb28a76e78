"""The node's view of the replicas: registry entries, reports and failures."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.fleet import (
    FULL_SECONDS,
    UNREACHABLE_SECONDS,
    LayerRange,
    Replica,
    Suspects,
    name_incarnation,
)
from ryelatch_core.kernel import Clock, Hub
from ryelatch_core.membership import DepartureBounds
from ryelatch_node.views._cut import CutReplicas
from ryelatch_node.views._freshness import Freshness
from ryelatch_node.views._incarnations import Incarnations
from ryelatch_node.views._leaving import LeavingIncarnations
from ryelatch_node.views._missing import MissingEntries
from ryelatch_node.views._replica_index import ReplicaIndex
from ryelatch_node.views._report_overrides import ReportOverrides

_DIGITS = 3


@dataclass(frozen=True)
class ReplicasChanged:
    """The list of replicas, or the set of suspected replicas, has changed."""


class ReplicaView:
    """Replicas that the registry lists, and which of them may get new work.

    :param bounds: time bounds on requests to replicas that have left.
    """

    def __init__(
        self,
        log: LineLog,
        clock: Clock,
        hub: Hub,
        bounds: DepartureBounds,
    ) -> None:
        self._index = ReplicaIndex()
        self.replicas: Mapping[str, Replica] = self._index.by_name
        self.listed = False
        # Number of registry entries that name no usable replica.
        self.refused = 0
        self.freshness = Freshness(log, clock, bounds)
        self._log = log
        self._clock = clock
        self._hub = hub
        self._suspects = Suspects()
        self._unreachable = Suspects()
        self._missing = MissingEntries()
        self.incarnations = Incarnations()
        self._overrides = ReportOverrides()
        self.leaving = LeavingIncarnations(clock)
        self._leaving_since: dict[str, float] = {}
        self.cut = CutReplicas(self.replicas)

    def find_missing(self, names: Iterable[str]) -> float:
        """Return the longest time for which an entry of some is missing.

        :param names: of the replicas.
        :returns: seconds; 0 if all of them are listed.
        """
        return self._missing.find_longest(names, self._clock.monotonic())

    def replace(
        self,
        listed: Iterable[Replica],
        *,
        unanswered: float,
    ) -> None:
        """Apply a complete list of the registry's entries.

        Entries expire during an outage of the store although their replicas
        still serve, and dropping them at once would leave no upstream at all.
        They are kept for as long as running replicas need to register again.

        :param unanswered: when the last call that the store left unanswered
            was sent, in monotonic seconds.
        """
        fresh = {replica.entry: replica for replica in listed}
        for replica in tuple(self.replicas.values()):
            if replica.entry not in fresh:
                self._handle_missing(replica.name, unanswered)
        for replica in fresh.values():
            self._put(replica, listed=True)
        self.listed = True
        self._suspects.keep(self.replicas)
        self._unreachable.keep(self.replicas)
        self._notify()

    def put(self, replica: Replica) -> None:
        """Apply an entry that is new or has changed."""
        self.leaving.record_entry(replica.name)
        self._put(replica, listed=True)
        self._notify()

    def remove(self, entry: str, *, unanswered: float) -> None:
        """Handle the deletion of an entry.

        :param unanswered: as in :meth:`replace`.
        """
        replica = self._index.find_entry(entry)
        if replica is None:
            return
        self._handle_missing(replica.name, unanswered)
        self._notify()

    def extend_missing(self, outage_ended: float, unanswered: float) -> None:
        """Keep missing entries for longer, as an outage lasted longer.

        :param outage_ended: when the outage had ended for this node, in
            monotonic seconds.
        :param unanswered: when the last call of the outage was sent, in
            monotonic seconds; it is before the outage's end.
        """
        until = unanswered + self.freshness.bounds.retention
        extended = self._missing.extend(outage_ended, until)
        if extended:
            self._log.record(
                catalogue.OUTAGE_LONGER,
                replicas=extended,
                kept=round(until - self._clock.monotonic(), _DIGITS),
            )

    def apply_report(
        self,
        replica: Replica,
        layers: LayerRange | None,
        started_at: int,
    ) -> None:
        """Apply a replica's report, which may be newer than its entry.

        A replica that has restarted holds no layers, but its entry is updated
        up to two seconds later. Until then every path through it would be
        refused.

        :param layers: the layers that the replica holds.
        :param started_at: start time of the incarnation that sent the report;
            0 if the report doesn't include it.
        """
        known = self.replicas.get(replica.name)
        if known is None or started_at < known.started_at:
            return
        if started_at > known.started_at:
            name = name_incarnation(known.entry, started_at)
            self._missing.transfer(known.name, name)
            self._put(
                replace(known, name=name, started_at=started_at, layers=layers)
            )
            self._notify()
            return
        if layers == known.layers:
            return
        self._overrides.remove(known.name)
        self._put(replace(known, layers=layers))
        self._overrides.add(known.name, known.layers, self._clock.monotonic())
        self._notify()

    def record_leaving(self, replica: Replica) -> None:
        """Record a replica's report that it leaves.

        An entry that still says ready doesn't revoke the report.
        """
        if not self.leaving.add(replica.name):
            return
        known = self.replicas.get(replica.name)
        if known is not None:
            self._put(known)
            self._notify()

    def end(self, replica: Replica) -> None:
        """Record a crash: another replica responds at this one's address.

        The entry stays until three heartbeats are missing. No request can be
        served by this replica meanwhile, and its layers are loaded elsewhere.
        """
        if replica.name in self.replicas:
            self._mark_crashed(replica)
            self._notify()

    def drop_expired(self) -> None:
        """Drop replicas missing for too long, and apply deferred entries."""
        now = self._clock.monotonic()
        due = self._missing.list_due(now)
        for name in due:
            self._drop(name)
        deferred = self._overrides.pop_due(now, self.freshness.at)
        for replica in deferred:
            self._put(replica)
        if deferred or due:
            self._notify()

    def list_service(self, service: str) -> list[Replica]:
        """List the replicas of a service that may get new work.

        Replicas whose entries have been missing for too long are left out
        even before the next housekeeping round drops them; otherwise they
        would receive requests for up to half a second more.
        """
        due = self._missing.list_due(self._clock.monotonic())
        return [
            replica
            for replica in self.replicas.values()
            if replica.service == service
            and not replica.leaving
            and replica.name not in due
        ]

    def is_available(self, replica: Replica) -> bool:
        """Whether a replica may get new work now."""
        available = self.list_service(replica.service)
        return any(other.name == replica.name for other in available)

    def list_reachable(self, service: str) -> list[Replica]:
        """List the replicas of a service that aren't considered lost."""
        lost = self.list_unreachable()
        return [
            replica
            for replica in self.list_service(service)
            if replica.name not in lost
        ]

    def list_suspects(self) -> frozenset[str]:
        """List the names of replicas that should get no new work at present."""
        suspects = self._suspects.list_names(self._clock.monotonic())
        return suspects | self.cut.list_names()

    def list_unreachable(self) -> frozenset[str]:
        """List the names of replicas that are considered lost.

        They include crashed incarnations for as long as there may be streams
        that pass through them.
        """
        now = self._clock.monotonic()
        lost = self._unreachable.list_names(now)
        return lost | self.incarnations.list_crashed(now)

    def find_leaving_since(self, name: str) -> float | None:
        """Find the earliest time at which a replica may have begun to leave.

        :returns: monotonic seconds at which the list was last confirmed as
            current without this change; nothing if the replica isn't leaving.
        """
        return self._leaving_since.get(name)

    def suspect(self, replica: Replica, reason: str, *, full: bool) -> None:
        """Keep new work from a replica for a while.

        Does nothing if this node alone can't reach it: it gets no work from
        here anyway, and a failure says nothing of the replica.

        :param reason: for the log.
        :param full: whether the replica responded, but had no capacity.
        """
        if replica.name in self.cut.list_names():
            return
        seconds = FULL_SECONDS if full else UNREACHABLE_SECONDS
        until = self._clock.monotonic() + seconds
        if not full:
            self._unreachable.add(replica.name, until)
        if self._suspects.add(replica.name, until):
            self._log.record(
                catalogue.REPLICA_SUSPECTED,
                replica=replica.name,
                address=replica.address,
                reason=reason,
                seconds=seconds,
            )
            self._notify()

    def clear_suspicion(self, replica: Replica) -> None:
        """Clear the suspicion of a replica that has responded."""
        self._suspects.clear(replica.name)
        self._unreachable.clear(replica.name)

    def apply_cut(self, groups: frozenset[tuple[str, str]]) -> None:
        """Apply which replicas other nodes reach, but not this one.

        What this node suspected of them is dropped when that begins and ends,
        as it was due to its own links.

        :param groups: services and availability zones of the replicas.
        """
        for replica in self.cut.change(groups):
            self.clear_suspicion(replica)
        self._notify()

    def _put(self, replica: Replica, *, listed: bool = False) -> None:
        """Apply the state of a replica.

        The state is not applied if it is

        - outdated: the incarnation has crashed, or a later one has appeared;
        - unchanged: equal to the state that is known;
        - deferred: contradicted by a report of the replica that takes
          precedence; it is applied when that ends, unless a later state or
          report has replaced it.

        :param listed: whether the state comes from a registry entry. Only such
            a state, unless it is outdated, ends the state "missing". A report
            does not: a replica that is leaving still answers report requests
            until it terminates.
        """
        replica = self.leaving.mark(replica)
        related = self._index.list_related(replica)
        self.incarnations.record_appearance(replica)
        if self.incarnations.is_outdated(
            replica, related, self._clock.monotonic()
        ):
            return
        if listed and self._missing.forget(replica.name):
            self._log.record(catalogue.REPLICA_RETURNED, replica=replica.name)
        if self.replicas.get(replica.name) == replica:
            return
        now = self._clock.monotonic()
        if self._overrides.defer(replica, now, self.freshness.at):
            return
        for crashed in self.incarnations.list_replaced(replica, related):
            self._mark_crashed(crashed)
        self._index.put(replica)
        if replica.leaving:
            self._leaving_since.setdefault(replica.name, self.freshness.at)
        else:
            self._leaving_since.pop(replica.name, None)
        held = replica.layers
        self._log.record(
            catalogue.REPLICA_LEAVING
            if replica.leaving
            else catalogue.REPLICA_LISTED,
            replica=replica.name,
            address=replica.address,
            zone=replica.zone,
            accelerator=replica.accelerator,
            layers=[held.first, held.end] if held else None,
        )

    def _notify(self) -> None:
        self._hub.emit(ReplicasChanged())

    def _mark_crashed(self, replica: Replica) -> None:
        self.incarnations.record_crash(replica, self._clock.monotonic())
        self._log.record(
            catalogue.REPLICA_ENDED,
            replica=replica.name,
            address=replica.address,
        )
        self._drop(replica.name)

    def _handle_missing(self, name: str, unanswered: float) -> None:
        """Keep a replica for a while if its entry may have expired in trouble.

        The time counts from the last call that the store left unanswered. If
        it counted from when this node noticed, an outage that had been over
        for four seconds would still keep replicas in use that left after it.
        """
        now = self._clock.monotonic()
        until = unanswered + self.freshness.bounds.retention
        if self.replicas[name].leaving or until <= now:
            self._drop(name)
        elif self._missing.add(name, now, until):
            self._log.record(
                catalogue.REPLICA_LAPSED,
                replica=name,
                list_age=self.freshness.round_age(),
                kept=round(until - now, _DIGITS),
            )

    def _drop(self, name: str) -> None:
        self._missing.forget(name)
        self._overrides.remove(name)
        self._leaving_since.pop(name, None)
        dropped = self._index.pop(name)
        if dropped is not None:
            self.leaving.record_drop(dropped)
            self._log.record(
                catalogue.REPLICA_GONE,
                replica=name,
                list_age=self.freshness.round_age(),
            )
