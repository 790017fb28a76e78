"""Index of replicas by name, entry and address."""

from dataclasses import dataclass, field

from ryelatch_core.fleet import Replica


@dataclass(eq=False)
class ReplicaIndex:
    """Finds replicas by name, entry or address without scanning all of them.

    :param by_name: all replicas.
    """

    by_name: dict[str, Replica] = field(default_factory=dict)
    # Dictionaries of names rather than sets, to keep the order of insertion.
    _by_entry: dict[str, dict[str, None]] = field(default_factory=dict)
    _by_address: dict[str, dict[str, None]] = field(default_factory=dict)

    def put(self, replica: Replica) -> None:
        """Add a replica, or replace the one of this name."""
        known = self.by_name.get(replica.name)
        if known is not None:
            self._unlink(known)
        self.by_name[replica.name] = replica
        self._by_entry.setdefault(replica.entry, {})[replica.name] = None
        self._by_address.setdefault(replica.address, {})[replica.name] = None

    def pop(self, name: str) -> Replica | None:
        """Remove a replica.

        :returns: the replica; nothing if there was none of this name.
        """
        known = self.by_name.pop(name, None)
        if known is not None:
            self._unlink(known)
        return known

    def find_entry(self, entry: str) -> Replica | None:
        """Find the replica that is listed under an entry."""
        names = self._by_entry.get(entry, {})
        return next((self.by_name[name] for name in names), None)

    def list_related(self, replica: Replica) -> list[Replica]:
        """List the other replicas with the same entry or address."""
        names = self._by_entry.get(replica.entry, {}) | self._by_address.get(
            replica.address, {}
        )
        return [self.by_name[name] for name in names if name != replica.name]

    def _unlink(self, known: Replica) -> None:
        for index, key in (
            (self._by_entry, known.entry),
            (self._by_address, known.address),
        ):
            index[key].pop(known.name)
            if not index[key]:
                del index[key]
