"""Streams between nodes for settings, leaving upstreams and demand."""

from ryelatch_node.peers._service import Peers, setup

__all__ = ['Peers', 'setup']
