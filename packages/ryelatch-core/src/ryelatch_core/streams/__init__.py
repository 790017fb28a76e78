"""Event streams: whole events, in order, over several upstreams."""

from ryelatch_core.streams._events import EventSplitter, StreamError

__all__ = ['EventSplitter', 'StreamError']
