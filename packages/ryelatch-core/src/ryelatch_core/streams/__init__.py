"""Event streams: complete events, in order, across several upstreams."""

from ryelatch_core.streams._events import (
    MAX_EVENT_BYTES,
    EventSplitter,
    StreamError,
)

__all__ = ['MAX_EVENT_BYTES', 'EventSplitter', 'StreamError']
