"""How old a node's knowledge of the configuration may be."""

from dataclasses import dataclass

REVOKE_MARGIN = 1.3
"""Seconds kept back from the bound on revoked keys.

A watch can hear nothing for a second while changes are made, before it is
cut; the rest is for a request on its way to an upstream.
"""


@dataclass(slots=True)
class Confirmation:
    """When the configuration in force was last known to be the newest.

    A node that is cut off from the store serves on with what it knows, but
    not keyed requests for longer than the bound: a key that was taken away
    meanwhile would still be accepted, and the holder of a stolen key served.

    Times are those of a clock that counts suspension, taken when the
    confirming call was sent: whatever changed after that is not covered by
    its answer.

    :param bound: seconds after which a revoked key must not be accepted.
    """

    bound: float
    confirmed: float = float('-inf')

    def confirm(self, sent: float) -> None:
        """Note that a call sent at this time showed nothing newer."""
        self.confirmed = max(self.confirmed, sent)

    @property
    def max_age(self) -> float:
        """Age at which keys are no longer accepted."""
        return self.bound - REVOKE_MARGIN

    def age(self, now: float) -> float:
        """Seconds for which the configuration is unconfirmed."""
        return now - self.confirmed

    def allows_keys(self, now: float) -> bool:
        """Whether keys may still be accepted."""
        return self.left(now) >= 0

    def left(self, now: float) -> float:
        """Seconds for which keys may be accepted without another word."""
        return self.max_age - self.age(now)
