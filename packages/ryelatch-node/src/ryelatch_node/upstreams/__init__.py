"""Connections to engines, and the upstreams that may get new work."""

from ryelatch_node.upstreams._link import EngineLink, StepHandler
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
    'StepHandler',
    'Upstreams',
    'setup',
]
