"""How long a node may still send requests to a replica that is leaving.

The platform bounds the time from its acceptance that a replica leaves to the
last request that reaches the replica. That time is a sum:

===================  =====================================================
age of the list      a lost watch is noticed only when its response is
                     overdue; until then the list ages unnoticed
retention of an      an entry that disappears in an outage of the store
entry                may reappear, so it is kept in use for a while
delivery of a        from the choice of the replica to the arrival there,
request              a new connection included
===================  =====================================================

The first and the last together stay within the bound at every node that gets
responses from the store. After an outage the platform does not hold a node to
the bound for some seconds, and a missing entry is kept no longer than that.
They are counted from the latest time at which the outage is certain: when the
last call was sent that got no response.
"""

from dataclasses import dataclass

NEVER = float('-inf')
"""Time of the last call without a response, if there was no such call."""

CONNECT_TIMEOUT_SECONDS = 0.6
"""Timeout of a new connection to an upstream.

A VM that is up accepts it within two milliseconds, also from another zone. One
that is down does not respond, and half a second later the request goes
elsewhere.
"""

STORE_OVERDUE_SECONDS = 0.5
"""How long a response of the store may be overdue until it counts as lost.

The store responds in 4 ms, at slow times in 240 ms. Whatever waits for it, the
detection of an outage included, takes at least this long.
"""

MARGIN_SECONDS = 0.1
"""Allowance for other delays: the call after a lost one, the event loop."""

RETURN_SECONDS = 2.0
"""Time after an outage in which entries that expired in it reappear."""

MIN_AGE_BOUND_SECONDS = 0.8
"""Smallest bound on the age of the list; each refresh costs a store call."""


@dataclass(frozen=True, slots=True)
class DepartureBounds:
    """Time limits that keep requests from reaching a replica too late.

    :param bound: seconds for which a replica that leaves may get requests.
    :param max_age: largest age of the list, in seconds, while the store
        responds.
    :param retention: seconds for which a missing entry stays in use, from when
        the last call without a response was sent to the store.
    """

    bound: float
    max_age: float
    retention: float


def compute_departure_bounds(bound: float, steady: float) -> DepartureBounds:
    """Compute the time limits from the platform's bounds.

    :param bound: seconds for which a replica that leaves may get requests.
    :param steady: seconds after an outage for which a node is not held to
        that bound.
    """
    delivery = CONNECT_TIMEOUT_SECONDS + MARGIN_SECONDS
    return DepartureBounds(
        bound=bound,
        max_age=max(bound - delivery, MIN_AGE_BOUND_SECONDS),
        # The outage may have lasted until the call timed out.
        retention=max(
            0, min(STORE_OVERDUE_SECONDS + RETURN_SECONDS, steady - delivery)
        ),
    )
