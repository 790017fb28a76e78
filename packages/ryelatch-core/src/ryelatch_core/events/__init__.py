"""Numbered events, their catalogue, log lines and time lines."""

from ryelatch_core.events import _catalogue as catalogue
from ryelatch_core.events._catalogue import EventKind, Level, list_kinds
from ryelatch_core.events._clock import HybridClock, Stamp
from ryelatch_core.events._explanation import (
    Explanation,
    Line,
    count_reasons,
    explain_request,
    read_lines,
)
from ryelatch_core.events._lines import LineLog, open_stdout
from ryelatch_core.events._supervision import keep_running
from ryelatch_core.events._timeline import Event, Timeline, merge_events
from ryelatch_core.events._usage import FleetUsage, UsageTracker, sum_usage

__all__ = [
    'Event',
    'EventKind',
    'Explanation',
    'FleetUsage',
    'HybridClock',
    'Level',
    'Line',
    'LineLog',
    'Stamp',
    'Timeline',
    'UsageTracker',
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
