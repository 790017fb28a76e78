"""How long a replica that has left may still be chosen.

The platform bounds the time from when it accepts that a replica leaves to the
last request that reaches it. That time is a sum:

==================  ======================================================
age of the list     a lost watch is noticed when its answer is overdue;
                    until then nothing shows that the list grows old
entry that is kept  one that went in an outage of the store may come back
way of a request    from the choice to its arrival, a connection included
==================  ======================================================

The first and the last together stay within the bound for every node that the
store answers. An entry is kept only as long as the trouble that may have taken
it still excuses the node, counted from the latest time at which that trouble is
proved: when the last call was sent that got no answer.
"""

from dataclasses import dataclass

NEVER = float('-inf')
"""When a call was left unanswered, where none was."""

CONNECT_TIMEOUT_SECONDS = 0.6
"""Longest wait for a connection to an upstream.

A VM that is up answers within two milliseconds, in another zone too. One
that is down answers nothing; half a second later the request is elsewhere.
"""

STORE_OVERDUE_SECONDS = 0.5
"""How long the store's answer may be overdue until it counts as lost.

It answers in 4 ms, and on slow days in 240 ms. All else that waits for it, an
outage noticed included, takes at least this long.
"""

MARGIN_SECONDS = 0.1
"""What a node takes besides: a call that follows a lost one, its own loop."""

RETURN_SECONDS = 2.0
"""Time after an outage in which entries come back that lapsed in it."""

LEAST_OLDEST_SECONDS = 0.8
"""Age of the list that is always allowed, as each look at the store costs."""


@dataclass(frozen=True, slots=True)
class DepartureBounds:
    """What a node has to keep so that no request comes too late.

    :param bound: seconds for which a replica that leaves may get requests.
    :param max_age: age of the list that is not passed while the store answers.
    :param retention: seconds for which a missing entry is used, from when the last
        call was sent that the store left unanswered.
    """

    bound: float
    max_age: float
    retention: float


def compute_departure_bounds(bound: float, steady: float) -> DepartureBounds:
    """Reckon the terms from the platform's bounds.

    :param bound: seconds for which a replica that leaves may get requests.
    :param steady: seconds after some trouble for which a node is not held to
        that bound.
    """
    way = CONNECT_TIMEOUT_SECONDS + MARGIN_SECONDS
    return DepartureBounds(
        bound=bound,
        max_age=max(bound - way, LEAST_OLDEST_SECONDS),
        # The outage may have lasted as long as a call takes to be given up.
        retention=max(0, min(STORE_OVERDUE_SECONDS + RETURN_SECONDS, steady - way)),
    )
