"""Replicas by name, and by what lives of one replica share."""

from dataclasses import dataclass, field

from ryelatch_core.fleet import Replica


@dataclass(eq=False)
class Roster:
    """Finds replicas by name, entry and address without looking at others.

    :param by_name: all of them.
    """

    by_name: dict[str, Replica] = field(default_factory=dict)
    # Names as keys, as their order of appearance counts.
    _by_entry: dict[str, dict[str, None]] = field(default_factory=dict)
    _by_address: dict[str, dict[str, None]] = field(default_factory=dict)

    def put(self, replica: Replica) -> None:
        """Take what is known of a replica, in place of what was."""
        known = self.by_name.get(replica.name)
        if known is not None:
            self._unlink(known)
        self.by_name[replica.name] = replica
        self._by_entry.setdefault(replica.entry, {})[replica.name] = None
        self._by_address.setdefault(replica.address, {})[replica.name] = None

    def pop(self, name: str) -> Replica | None:
        """Forget a replica.

        :returns: what was known of it.
        """
        known = self.by_name.pop(name, None)
        if known is not None:
            self._unlink(known)
        return known

    def find_entry(self, entry: str) -> Replica | None:
        """Find the replica that is listed under an entry."""
        names = self._by_entry.get(entry, {})
        return next((self.by_name[name] for name in names), None)

    def list_neighbours(self, replica: Replica) -> list[Replica]:
        """List the others of the same entry or address."""
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
