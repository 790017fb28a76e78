"""Age limit of a configuration that a node has not been able to confirm."""

from dataclasses import dataclass

REVOCATION_MARGIN_SECONDS = 1.3
"""Seconds by which keys are refused before the bound on revoked keys.

A watch can go without a notification for one second while changes are made,
before its connection is cut; the rest is for a request in transit to an
upstream.
"""


@dataclass(slots=True)
class Confirmation:
    """When the current configuration was last confirmed to be the newest.

    A node that is cut off from the store continues with the configuration that
    it has, but accepts keys only up to the bound: a key revoked meanwhile would
    otherwise still be accepted, and the holder of a stolen key be served.

    Times are in seconds of a clock that also runs while the VM is suspended.
    They are taken when the confirming call was sent, as its response does not
    cover later changes.

    :param bound: seconds after which a revoked key must not be accepted.
    :param confirmed: time of the newest confirmation.
    """

    bound: float
    confirmed: float = float('-inf')

    def confirm(self, sent: float) -> None:
        """Record that a call sent at this time found nothing newer."""
        self.confirmed = max(self.confirmed, sent)

    @property
    def max_age(self) -> float:
        """Age in seconds beyond which keys are not accepted."""
        return self.bound - REVOCATION_MARGIN_SECONDS

    def age(self, now: float) -> float:
        """Find the seconds since the configuration was last confirmed."""
        return now - self.confirmed

    def allows_keys(self, now: float) -> bool:
        """Whether keys may still be accepted."""
        return self.left(now) >= 0

    def left(self, now: float) -> float:
        """Find the seconds for which keys are accepted if nothing confirms."""
        return self.max_age - self.age(now)
