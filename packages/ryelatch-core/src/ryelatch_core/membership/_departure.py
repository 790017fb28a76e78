"""How long a node may still send requests to a replica that is leaving.

After the platform has accepted that a replica leaves, requests may reach the
replica for at most ``bound`` seconds. Two times add up to this:

===================  =====================================================
age of the list      a lost watch is noticed only when its response is
                     overdue; until then the list ages unnoticed
delivery of a        from the choice of the replica to the arrival there,
request              a new connection included
===================  =====================================================

At every node that gets responses from the store, their sum stays within
``bound``, unless ``bound`` is smaller than the minimum age
(``MIN_AGE_BOUND_SECONDS``) plus the delivery.

Separately, an entry that disappears in an outage of the store may reappear.
So it stays in use for a limited time, the retention. After an outage the
platform does not hold a node to ``bound`` for ``steady`` seconds, and
retention plus delivery stay within that, unless ``steady`` is shorter than the
delivery. The retention is counted from the latest time at which the outage is
certain: when the last call was sent that got no response.
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

    The largest age of the list is ``bound`` without the delivery, but at least
    ``MIN_AGE_BOUND_SECONDS``. The retention, for which an entry that
    disappears in an outage of the store stays in use, is
    ``STORE_OVERDUE_SECONDS`` plus ``RETURN_SECONDS``, but at most ``steady``
    without the delivery; it is 0 if ``steady`` is shorter than the delivery.

    :param bound: seconds for which requests may reach a replica after the
        platform has accepted that it leaves.
    :param steady: seconds after an outage of the store for which the platform
        does not hold a node to ``bound``.
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
