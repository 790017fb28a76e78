"""Event streams: complete events, in order, across several upstreams."""

from ryelatch_core.streams._events import EventCutter, StreamError

__all__ = ['EventCutter', 'StreamError']
