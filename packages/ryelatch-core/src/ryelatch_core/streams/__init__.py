"""Event streams: whole events, in order, over several upstreams."""

from ryelatch_core.streams._events import EventCutter, StreamError

__all__ = ['EventCutter', 'StreamError']
