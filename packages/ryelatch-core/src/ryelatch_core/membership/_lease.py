"""Leases on tasks that one node performs for all, with fencing numbers.

A lease ensures liveness only: it can expire while its holder is paused and
does not notice. Safety comes from the fencing number, which grows with each
holder.
"""

from dataclasses import dataclass, replace

TTL_SECONDS = 6.0
"""Time after which a lease that is not renewed may be taken."""

COMMAND_TIMEOUT_SECONDS = 2.0
"""Timeout of a command that is sent to an engine under a lease."""


@dataclass(frozen=True)
class Lease:
    """The record of a leased task in the store.

    :param holder: name of the node that holds the lease.
    :param fence: fencing number; grows with each holder, never reused.
    :param released: whether the holder has given the lease back.
    """

    holder: str
    fence: int
    released: bool = False


def take_lease(
    known: Lease | None,
    name: str,
    unchanged: float,
) -> Lease | None:
    """Decide whether a node may take a lease, and which record to write.

    Clocks of VMs differ, so the record holds no time. A node that is to take
    the lease watches the record instead: if it stays unchanged for the time to
    live by the node's own clock, its holder has not renewed it.

    :param known: the record in the store; ``None`` if there is none.
    :param name: name of the node that is to take the lease.
    :param unchanged: seconds for which this node has seen no change of it.
    :returns: the record to write, on condition that it has not changed since;
        ``None`` if the lease may not be taken.
    """
    if known is None:
        return Lease(name, 1)
    if known.released or unchanged >= TTL_SECONDS:
        return Lease(name, known.fence + 1)
    return None


def may_send_command(held_since: float, taken: float, now: float) -> bool:
    """Decide whether the holder of a lease may send a command now.

    Some engines ignore fencing numbers, so a command must be over before
    another node can hold the lease, and a new holder must wait until commands
    of the previous holder are over.

    :param held_since: when the last successful renewal was begun, in
        monotonic seconds.
    :param taken: when this holder first took the lease, in monotonic seconds.
    """
    safe_until = held_since + TTL_SECONDS - COMMAND_TIMEOUT_SECONDS
    return taken + COMMAND_TIMEOUT_SECONDS <= now < safe_until


def release_lease(lease: Lease) -> Lease:
    """Mark a lease as released, so that the next holder need not wait."""
    return replace(lease, released=True)
