"""Peers that were of no use, and are not asked for a while."""

from dataclasses import dataclass, field

from ryelatch_core.kernel import Clock

REST_SECONDS = 6.0
"""How long a peer that did not help is not asked again.

Asked again at once, each watch would cost its wait before the store is asked,
and what is confirmed grows old meanwhile.
"""

BLIND_SECONDS = 0.5
"""The same while the store answers this node as little as that peer.

One that watches asks the store again several times a second and is the first
to know when the store is back; those who wait for that ask it, not the store.
A peer that is blind or behind alone is left for as long as any other.
"""


@dataclass(frozen=True, slots=True)
class _Left:
    """That a peer was left.

    :param at: when, in monotonic seconds.
    :param answered: whether it answered, with what was too old.
    """

    at: float
    answered: bool


@dataclass(eq=False)
class RestBook:
    """When peers were left, by name."""

    clock: Clock
    _left: dict[str, _Left] = field(default_factory=dict)

    def note(self, name: str, *, answered: bool) -> None:
        """Note that a peer was left.

        :param answered: whether it answered, with what was too old.
        """
        self._left[name] = _Left(self.clock.monotonic(), answered)

    def rests(self, name: str, *, all_wait: bool) -> bool:
        """Whether a peer was of no use a short while ago.

        :param all_wait: whether all wait for the store to come back.
        """
        left = self._left.get(name)
        if left is None:
            return False
        rest = BLIND_SECONDS if left.answered and all_wait else REST_SECONDS
        return self.clock.monotonic() - left.at < rest
