"""Knows which links of this node to replicas are lost, and who has others."""

from ryelatch_node.links._service import Links, setup
from ryelatch_node.links._state import LinksChanged

__all__ = ['Links', 'LinksChanged', 'setup']
