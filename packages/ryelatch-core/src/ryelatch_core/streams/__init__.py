"""Event streams: complete events, in order, across several upstreams."""

from ryelatch_core.streams._events import EventSplitter, StreamError

__all__ = ['EventSplitter', 'StreamError']
