"""What replicas said of themselves before their entries did."""

from dataclasses import dataclass, field

from ryelatch_core.fleet import LayerRange, Replica

LEARNED_SECONDS = 1.0
"""How long at least what a replica said of itself goes before its entry.

It writes its entry up to a second after it has said so. An entry may be heard
of later still, when the store was away, so the list must also be known as of
later than the denial before an entry that says the opposite is taken.
"""


@dataclass(slots=True)
class _Denial:
    """A replica's word against its entry.

    :param layers: that its entry said it held.
    :param at: when it denied them, in monotonic seconds.
    :param waiting: the last entry that still said so.
    """

    layers: LayerRange | None
    at: float
    waiting: Replica | None = None

    def holds(self, now: float, known: float) -> bool:
        """Whether it goes before the entry."""
        return now - self.at <= LEARNED_SECONDS or known <= self.at


@dataclass(eq=False)
class Denials:
    """Entries that their replicas have denied, by name of the replica."""

    _denials: dict[str, _Denial] = field(default_factory=dict)

    def note(self, name: str, layers: LayerRange | None, now: float) -> None:
        """Note that a replica denied to hold some layers."""
        self._denials[name] = _Denial(layers, now)

    def forget(self, name: str) -> None:
        """Take the entry as it is from now on."""
        self._denials.pop(name, None)

    def holds_against(
        self,
        replica: Replica,
        now: float,
        known: float,
    ) -> bool:
        """Whether an entry says what its replica has just denied.

        :param known: as of when the list was known before.
        """
        denial = self._denials.get(replica.name)
        if denial is None or not denial.holds(now, known):
            return False
        denied = replica.layers == denial.layers and not replica.leaving
        denial.waiting = replica if denied else None
        return denied

    def take_due(self, now: float, known: float) -> list[Replica]:
        """Take the entries that have said the same for long enough.

        :param known: as of when the list is known.
        """
        due = {
            name: denial
            for name, denial in self._denials.items()
            if not denial.holds(now, known)
        }
        for name in due:
            del self._denials[name]
        return [one.waiting for one in due.values() if one.waiting]
