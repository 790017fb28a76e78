"""Numbered events, their catalogue, and the time line that keeps them."""

from ryelatch_core.events import _catalogue as catalogue
from ryelatch_core.events._catalogue import EventKind, Level, list_kinds
from ryelatch_core.events._clock import HybridClock, Stamp
from ryelatch_core.events._costs import UsageTracker, FleetUsage, sum_usage
from ryelatch_core.events._lines import LineLog, open_stdout
from ryelatch_core.events._story import (
    Line,
    Explanation,
    count_reasons,
    explain_request,
    read_lines,
)
from ryelatch_core.events._supervision import keep_running
from ryelatch_core.events._timeline import Event, Timeline, merge_events

__all__ = [
    'UsageTracker',
    'Event',
    'EventKind',
    'FleetUsage',
    'HybridClock',
    'Level',
    'Line',
    'LineLog',
    'Stamp',
    'Explanation',
    'Timeline',
    'catalogue',
    'count_reasons',
    'explain_request',
    'keep_running',
    'list_kinds',
    'merge_events',
    'open_stdout',
    'read_lines',
    'sum_usage',
]
