"""Sends requests to other nodes, which relay them to replicas they reach."""

from ryelatch_node.forwarding._client import (
    ALIVE_SECONDS,
    ForwardClient,
    ForwardedAnswer,
    HelperLost,
    setup,
)

__all__ = [
    'ALIVE_SECONDS',
    'ForwardClient',
    'ForwardedAnswer',
    'HelperLost',
    'setup',
]
