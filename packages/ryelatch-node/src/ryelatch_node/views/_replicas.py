"""The replicas that the registry lists, and what this node saw of them."""

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
from ryelatch_node.views._freshness import Known
from ryelatch_node.views._report_overrides import Denials
from ryelatch_node.views._leaving import Leavers
from ryelatch_node.views._incarnations import Lives
from ryelatch_node.views._missing import MissingEntries
from ryelatch_node.views._replica_index import Roster

_DIGITS = 3


@dataclass(frozen=True)
class ReplicasChanged:
    """The list of replicas, or what is suspected of them, is another."""


class ReplicaView:
    """Replicas by name.

    :param bounds: bounds on requests to replicas that have left.
    """

    def __init__(
        self,
        log: LineLog,
        clock: Clock,
        hub: Hub,
        bounds: DepartureBounds,
    ) -> None:
        self._roster = Roster()
        self.replicas: Mapping[str, Replica] = self._roster.by_name
        self.listed = False
        # Entries of the registry that name no replica to use.
        self.refused = 0
        self.freshness = Known(log, clock, bounds)
        self._log = log
        self._clock = clock
        self._hub = hub
        self._suspects = Suspects()
        self._unreachable = Suspects()
        self._missing = MissingEntries()
        self._lives = Lives()
        self._denials = Denials()
        self._leavers = Leavers()
        self._leaving: dict[str, float] = {}

    def find_missing(self, names: Iterable[str]) -> float:
        """Tell how long an entry of some replicas has been missing here.

        :returns: seconds; 0 if all of them are listed.
        """
        return self._missing.find_longest(names, self._clock.monotonic())

    def replace(
        self,
        listed: Iterable[Replica],
        *,
        unanswered: float,
    ) -> None:
        """Take a whole list.

        :param unanswered: when the last call was sent that the store left
            unanswered, in monotonic seconds. Entries lapse in an outage
            though their replicas serve on; dropping them at once would leave
            no upstream at all. They are kept for the time in which those that
            live come back.
        """
        fresh = {replica.entry: replica for replica in listed}
        for replica in tuple(self.replicas.values()):
            if replica.entry not in fresh:
                self._let_go(replica.name, unanswered)
        for replica in fresh.values():
            self._put(replica, listed=True)
        self.listed = True
        self._suspects.keep(self.replicas)
        self._unreachable.keep(self.replicas)
        self._tell()

    def put(self, replica: Replica) -> None:
        """Take an entry that is new or has changed."""
        self._put(replica, listed=True)
        self._tell()

    def remove(self, entry: str, *, unanswered: float) -> None:
        """Take note that an entry has gone.

        :param unanswered: as for a whole list.
        """
        replica = self._roster.find_entry(entry)
        if replica is None:
            return
        self._let_go(replica.name, unanswered)
        self._tell()

    def apply_report(
        self,
        replica: Replica,
        layers: LayerRange | None,
        started_at: int,
    ) -> None:
        """Take what a replica says of itself before its entry tells it.

        A replica that has started again holds nothing, and its entry says so
        up to two seconds later. Until then every path through it is refused.

        :param started_at: when the life that spoke began; 0 if it didn't say.
        """
        known = self.replicas.get(replica.name)
        if known is None or started_at < known.started_at:
            return
        if started_at > known.started_at:
            name = name_incarnation(known.entry, started_at)
            self._missing.pass_on(known.name, name)
            self._put(replace(known, name=name, started_at=started_at, layers=layers))
            self._tell()
            return
        if layers == known.layers:
            return
        self._denials.forget(known.name)
        self._put(replace(known, layers=layers))
        self._denials.note(known.name, known.layers, self._clock.monotonic())
        self._tell()

    def record_leaving(self, replica: Replica) -> None:
        """Take a replica's word that it leaves; its entry takes none back."""
        if not self._leavers.note(replica.name):
            return
        known = self.replicas.get(replica.name)
        if known is not None:
            self._put(known)
            self._tell()

    def end(self, replica: Replica) -> None:
        """Take note that another replica answers at an address.

        Its entry stays until three of its heartbeats are missing; no request
        can be served there meanwhile, and its layers are loaded elsewhere.
        """
        if replica.name in self.replicas:
            self._end(replica)
            self._tell()

    def drop_expired(self) -> None:
        """Drop the entries that did not come back in time."""
        now = self._clock.monotonic()
        due = self._missing.list_due(now)
        for name in due:
            self._drop(name)
        waiting = self._denials.take_due(now, self.freshness.at)
        for replica in waiting:
            self._put(replica)
        if waiting or due:
            self._tell()

    def list_service(self, service: str) -> list[Replica]:
        """List the replicas of a service that may get new work.

        Those whose entries are missing for too long are left out at once, and
        dropped when the node next keeps house: half a second of requests
        would reach them meanwhile.
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
        offered = self.list_service(replica.service)
        return any(one.name == replica.name for one in offered)

    def list_reachable(self, service: str) -> list[Replica]:
        """List the replicas of a service that aren't taken to be lost."""
        lost = self.list_unreachable()
        return [
            replica
            for replica in self.list_service(service)
            if replica.name not in lost
        ]

    def list_suspects(self) -> frozenset[str]:
        """List the names of replicas to avoid."""
        return self._suspects.list_names(self._clock.monotonic())

    def list_unreachable(self) -> frozenset[str]:
        """List the names of replicas that are taken to be lost.

        Lives that ended are among them for as long as streams may be left
        that pass through them.
        """
        now = self._clock.monotonic()
        lost = self._unreachable.list_names(now)
        return lost | self._lives.list_ended(now)

    def find_leaving_since(self, name: str) -> float | None:
        """Tell since when a replica may have been leaving.

        :returns: monotonic seconds at which the list was last known not to
            say so; nothing if the replica does not leave.
        """
        return self._leaving.get(name)

    def suspect(self, replica: Replica, reason: str, *, full: bool) -> None:
        """Keep away from a replica for a while.

        :param full: whether it only had no room.
        """
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
            self._tell()

    def clear_suspicion(self, replica: Replica) -> None:
        """Take back a suspicion after an answer."""
        self._suspects.clear(replica.name)
        self._unreachable.clear(replica.name)

    def _put(self, replica: Replica, *, listed: bool = False) -> None:
        """Take what is known of a replica.

        :param listed: whether its entry says so. Only that ends its being
            missing: a replica that leaves answers reports until its end.
        """
        replica = self._leavers.mark(replica)
        known = self._roster.list_neighbours(replica)
        self._lives.see(replica)
        if self._lives.is_over(replica, known, self._clock.monotonic()):
            return
        if listed and self._missing.forget(replica.name):
            self._log.record(catalogue.REPLICA_RETURNED, replica=replica.name)
        if self.replicas.get(replica.name) == replica:
            return
        now = self._clock.monotonic()
        if self._denials.holds_against(replica, now, self.freshness.at):
            return
        for ended in self._lives.list_replaced(replica, known):
            self._end(ended)
        self._roster.put(replica)
        if replica.leaving:
            self._leaving.setdefault(replica.name, self.freshness.at)
        else:
            self._leaving.pop(replica.name, None)
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

    def _tell(self) -> None:
        self._hub.emit(ReplicasChanged())

    def _end(self, replica: Replica) -> None:
        self._lives.note_ended(replica, self._clock.monotonic())
        self._log.record(
            catalogue.REPLICA_ENDED,
            replica=replica.name,
            address=replica.address,
        )
        self._drop(replica.name)

    def _let_go(self, name: str, unanswered: float) -> None:
        """Keep a replica for a while if its entry may have lapsed in trouble.

        The while is counted from the last call that the store left unanswered.
        Counted from when this node noticed, an outage that was over for four
        seconds still kept replicas in use that had left after it.
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
        self._denials.forget(name)
        self._leaving.pop(name, None)
        if self._roster.pop(name) is not None:
            self._log.record(
                catalogue.REPLICA_GONE,
                replica=name,
                list_age=self.freshness.round_age(),
            )
