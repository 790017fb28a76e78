"""What replicas said of themselves before their entries did."""

from dataclasses import dataclass, field

from ryelatch_core.fleet import LayerRange, Replica

LEARNED_SECONDS = 1.0
"""How long what a replica said of itself goes before its entry.

An entry may be read 0.8 s late, so one that says what the replica has just
denied is older than the denial; later it is taken as it is.
"""


@dataclass(slots=True)
class _Denial:
    """A replica's word against its entry.

    :param layers: that its entry said it held.
    :param until: when its entry goes first again.
    :param waiting: the last entry that still said so.
    """

    layers: LayerRange | None
    until: float
    waiting: Replica | None = None


@dataclass(eq=False)
class Denials:
    """Entries that their replicas have denied, by name of the replica."""

    _denials: dict[str, _Denial] = field(default_factory=dict)

    def note(self, name: str, layers: LayerRange | None, now: float) -> None:
        """Note that a replica denied to hold some layers."""
        self._denials[name] = _Denial(layers, now + LEARNED_SECONDS)

    def forget(self, name: str) -> None:
        """Take the entry as it is from now on."""
        self._denials.pop(name, None)

    def holds_against(self, replica: Replica, now: float) -> bool:
        """Whether an entry says what its replica has just denied."""
        denial = self._denials.get(replica.name)
        if denial is None or denial.until < now:
            return False
        denied = replica.layers == denial.layers and not replica.leaving
        denial.waiting = replica if denied else None
        return denied

    def take_due(self, now: float) -> list[Replica]:
        """Take the entries that have said the same for long enough."""
        due = {
            name: denial
            for name, denial in self._denials.items()
            if denial.until < now
        }
        for name in due:
            del self._denials[name]
        return [one.waiting for one in due.values() if one.waiting]
