"""Work that one node does at a time: which replica holds which layers."""

from ryelatch_node.duty._lease import LeaseManager
from ryelatch_node.duty._service import PlacementController, setup

__all__ = ['LeaseManager', 'PlacementController', 'setup']
