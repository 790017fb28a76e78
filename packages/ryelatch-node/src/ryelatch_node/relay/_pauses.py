"""Pauses of a stream after which its watch does something about it."""

from ryelatch_node.relay._stream import LiveStream

STALL_SECONDS = 0.4
"""Pause after which the first replica is asked for a report.

An event takes 40 to 100 ms, and several such intervals pass while replicas
process long prompts. The report lags by 200 ms, so an earlier one would not
show the stall.
"""

FIRST_STALL_SECONDS = 0.7
"""``STALL_SECONDS`` before the first event, while the prompt is processed."""

MIN_SILENCE_SECONDS = 0.07
"""Minimum pause after which the replicas of a path are checked.

Clients notice a pause of a quarter of a second, and another run needs most
of that time to produce its first event.
"""

SILENCE_GAPS = 1.6
"""Minimum pause as a multiple of the mean gap between events of the stream.

The replicas of a path are checked after this pause or after
``MIN_SILENCE_SECONDS``, whichever is longer.
"""

FIRST_SILENCE_SECONDS = 0.25
"""Pause after which replicas are checked before a stream has two events.

Its mean gap isn't known yet, and its prompt may still be processed.
"""


def compute_silence_limit(stream: LiveStream) -> float:
    """Compute the pause after which the replicas of a stream are checked."""
    if stream.first_event is None or stream.delivered < 2:
        return FIRST_SILENCE_SECONDS
    flowing_seconds = stream.progress - stream.first_event
    gap = flowing_seconds / (stream.delivered - 1)
    return max(MIN_SILENCE_SECONDS, SILENCE_GAPS * gap)


def get_stall_limit(stream: LiveStream) -> float:
    """Return the pause after which the first replica is asked for a report."""
    return STALL_SECONDS if stream.begun else FIRST_STALL_SECONDS
