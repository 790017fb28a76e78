"""Links to engines, and which upstreams may get new work."""

from ryelatch_node.upstreams._link import EngineLink, Sink
from ryelatch_node.upstreams._service import (
    LinkChanged,
    RosterChanged,
    Upstreams,
    setup,
)

__all__ = [
    'EngineLink',
    'LinkChanged',
    'RosterChanged',
    'Sink',
    'Upstreams',
    'setup',
]
