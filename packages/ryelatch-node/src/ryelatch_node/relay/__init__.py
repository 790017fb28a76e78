"""Relays requests of clients to replicas, and the answers back."""

from ryelatch_node.relay._server import RelayServer
from ryelatch_node.relay._service import setup

__all__ = ['RelayServer', 'setup']
