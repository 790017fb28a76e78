"""The replicas that the registry lists, and what this node saw of them."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from ryelatch_core.events import LineLog, catalogue
from ryelatch_core.fleet import (
    FULL_SECONDS,
    UNREACHABLE_SECONDS,
    LayerRange,
    Replica,
    Suspects,
    name_life,
)
from ryelatch_core.kernel import Clock, Hub
from ryelatch_node.beliefs._lives import Lives

RETURN_SECONDS = 2.0
"""Time in which entries come back that lapsed while the store was away."""

NEVER_SECONDS = 1e9
"""Age written for what was never confirmed; JSON holds no infinity."""

_DIGITS = 3

LEARNED_SECONDS = 1.0
"""How long what a replica said of itself goes before its entry.

An entry may be read 0.8 s late, so one that says what the replica has just
denied is older than the denial; later it is taken as it is.
"""


@dataclass(slots=True)
class _Learned:
    """What a replica said of itself.

    :param denied: layers that its entry said it held.
    :param until: when its entry goes first again.
    :param waiting: the last entry that still said so.
    """

    denied: LayerRange | None
    until: float
    waiting: Replica | None = None


@dataclass(frozen=True)
class ReplicasChanged:
    """The list of replicas, or what is suspected of them, is another."""


class ReplicaView:
    """Replicas by name.

    :param refused: entries of the registry that name no replica to use.
    """

    def __init__(self, log: LineLog, clock: Clock, hub: Hub) -> None:
        self.replicas: dict[str, Replica] = {}
        self.listed = False
        self.refused = 0
        self._log = log
        self._clock = clock
        self._hub = hub
        self._suspects = Suspects()
        self._unreachable = Suspects()
        self._lapsed: dict[str, float] = {}
        self._known = float('-inf')
        self._lives = Lives()
        self._learned: dict[str, _Learned] = {}

    @property
    def age(self) -> float:
        """Seconds since the list was known to be the newest."""
        return min(self._clock.monotonic() - self._known, NEVER_SECONDS)

    def confirm(self, known: float) -> None:
        """Note that nothing else had changed at a time.

        :param known: monotonic seconds.
        """
        self._known = max(self._known, known)

    def find_missing(self, names: Iterable[str]) -> float:
        """Tell how long an entry of some replicas has been missing here.

        :returns: seconds; 0 if all of them are listed.
        """
        now = self._clock.monotonic()
        since = [
            now + RETURN_SECONDS - self._lapsed[name]
            for name in names
            if name in self._lapsed
        ]
        return max(since, default=0)

    def replace(self, listed: Iterable[Replica], *, outage: bool) -> None:
        """Take a whole list.

        :param outage: whether the store was away just before. Entries lapse
            meanwhile though their replicas serve on; dropping them at once
            would leave no upstream at all. They are kept for the time in
            which those that live come back.
        """
        fresh = {replica.entry: replica for replica in listed}
        for replica in tuple(self.replicas.values()):
            if replica.entry not in fresh:
                self._let_go(replica.name, outage=outage)
        for replica in fresh.values():
            self._put(replica)
        self.listed = True
        self._suspects.keep(self.replicas)
        self._unreachable.keep(self.replicas)
        self._tell()

    def put(self, replica: Replica) -> None:
        """Take an entry that is new or has changed."""
        self._put(replica)
        self._tell()

    def remove(self, entry: str, *, outage: bool) -> None:
        """Take note that an entry has gone.

        :param outage: whether the store was away just before.
        """
        replica = self._find_entry(entry)
        if replica is None:
            return
        self._let_go(replica.name, outage=outage)
        self._tell()

    def learn(
        self,
        replica: Replica,
        layers: LayerRange | None,
        born: int,
    ) -> None:
        """Take what a replica says of itself before its entry tells it.

        A replica that has started again holds nothing, and its entry says so
        up to two seconds later. Until then every path through it is refused.

        :param born: when the life that spoke began; 0 if it didn't say.
        """
        known = self.replicas.get(replica.name)
        if known is None or born < known.born:
            return
        if born > known.born:
            name = name_life(known.entry, born)
            self._put(replace(known, name=name, born=born, layers=layers))
            self._tell()
            return
        if layers == known.layers:
            return
        self._learned.pop(known.name, None)
        self._put(replace(known, layers=layers))
        until = self._clock.monotonic() + LEARNED_SECONDS
        self._learned[known.name] = _Learned(known.layers, until)
        self._tell()

    def end(self, replica: Replica) -> None:
        """Take note that another replica answers at an address.

        Its entry stays until three of its heartbeats are missing; no request
        can be served there meanwhile, and its layers are loaded elsewhere.
        """
        if replica.name in self.replicas:
            self._end(replica)
            self._tell()

    def drop_lapsed(self) -> None:
        """Drop the entries that did not come back in time."""
        now = self._clock.monotonic()
        due = [name for name, until in self._lapsed.items() if until <= now]
        for name in due:
            self._drop(name)
        if self._accept_waiting(now) or due:
            self._tell()

    def list_service(self, service: str) -> list[Replica]:
        """List the replicas of a service that may get new work."""
        return [
            replica
            for replica in self.replicas.values()
            if replica.service == service and not replica.leaving
        ]

    def list_alive(self, service: str) -> list[Replica]:
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

    def trust(self, replica: Replica) -> None:
        """Take back a suspicion after an answer."""
        self._suspects.clear(replica.name)
        self._unreachable.clear(replica.name)

    def _put(self, replica: Replica) -> None:
        known = tuple(self.replicas.values())
        self._lives.see(replica)
        if self._lives.is_over(replica, known, self._clock.monotonic()):
            return
        if self._lapsed.pop(replica.name, None) is not None:
            self._log.record(catalogue.REPLICA_RETURNED, replica=replica.name)
        if self.replicas.get(replica.name) == replica:
            return
        if self._is_denied(replica):
            return
        for ended in self._lives.list_replaced(replica, known):
            self._end(ended)
        self.replicas[replica.name] = replica
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

    def _find_entry(self, entry: str) -> Replica | None:
        found = (one for one in self.replicas.values() if one.entry == entry)
        return next(found, None)

    def _is_denied(self, replica: Replica) -> bool:
        """Whether an entry says what its replica has just denied."""
        learned = self._learned.get(replica.name)
        if learned is None or learned.until < self._clock.monotonic():
            return False
        denied = replica.layers == learned.denied and not replica.leaving
        learned.waiting = replica if denied else None
        return denied

    def _accept_waiting(self, now: float) -> bool:
        """Take the entries that have said the same for long enough."""
        due = {
            name: learned
            for name, learned in self._learned.items()
            if learned.until < now
        }
        waiting = [one.waiting for one in due.values() if one.waiting]
        for name in due:
            del self._learned[name]
        for replica in waiting:
            self._put(replica)
        return bool(waiting)

    def _end(self, replica: Replica) -> None:
        self._lives.note_ended(replica, self._clock.monotonic())
        self._log.record(
            catalogue.REPLICA_ENDED,
            replica=replica.name,
            address=replica.address,
        )
        self._drop(replica.name)

    def _let_go(self, name: str, *, outage: bool) -> None:
        if outage and not self.replicas[name].leaving:
            if name not in self._lapsed:
                self._log.record(
                    catalogue.REPLICA_LAPSED,
                    replica=name,
                    list_age=round(self.age, _DIGITS),
                )
            until = self._clock.monotonic() + RETURN_SECONDS
            self._lapsed.setdefault(name, until)
        else:
            self._drop(name)

    def _drop(self, name: str) -> None:
        self._lapsed.pop(name, None)
        self._learned.pop(name, None)
        if self.replicas.pop(name, None) is not None:
            self._log.record(
                catalogue.REPLICA_GONE,
                replica=name,
                list_age=round(self.age, _DIGITS),
            )
