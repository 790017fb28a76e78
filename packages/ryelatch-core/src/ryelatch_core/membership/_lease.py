"""Leases on duties: who may act, and under which fencing number.

A lease is for liveness only: it can lapse while its holder is paused and
unaware. Safety comes from the fencing number, which grows with each holder.
"""

from dataclasses import dataclass, replace

TTL_SECONDS = 6.0
COMMAND_TIMEOUT_SECONDS = 2.0


@dataclass(frozen=True)
class Lease:
    """A duty as the store holds it.

    :param fence: grows with each holder and is never used again.
    :param released: the holder has given it back in order.
    """

    holder: str
    fence: int
    released: bool = False


def take_lease(
    known: Lease | None,
    name: str,
    unchanged: float,
) -> Lease | None:
    """Decide whether a lease may be taken, and as what to write it.

    Clocks of VMs differ, so no time stands in the record. One that wants it
    watches the record itself: unchanged for the whole time to live by its
    own clock, the holder has not renewed it.

    :param unchanged: seconds for which this node has seen no change of it.
    :returns: the record to write, under the condition that nobody else did.
    """
    if known is None:
        return Lease(name, 1)
    if known.released or unchanged >= TTL_SECONDS:
        return Lease(name, known.fence + 1)
    return None


def may_send_command(held_since: float, taken: float, now: float) -> bool:
    """Decide whether a holder may still send an order.

    Some engines ignore fencing numbers, so an order must end before another
    can hold the lease, and a new holder must wait until orders of the last
    one have ended.

    :param held_since: when the last successful renewal was begun.
    :param taken: when this holder first took the lease.
    """
    safe_until = held_since + TTL_SECONDS - COMMAND_TIMEOUT_SECONDS
    return taken + COMMAND_TIMEOUT_SECONDS <= now < safe_until


def release_lease(lease: Lease) -> Lease:
    """Give a lease back, so that the next holder need not wait."""
    return replace(lease, released=True)
