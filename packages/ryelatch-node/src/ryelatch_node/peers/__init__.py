"""Streams between nodes: settings, leaving upstreams, demand."""

from ryelatch_node.peers._service import Peers, setup

__all__ = ['Peers', 'setup']
