"""Work that one node does at a time: which replica holds which layers."""

from ryelatch_node.placement._lease import LeaseManager
from ryelatch_node.placement._service import PlacementController, setup

__all__ = ['LeaseManager', 'PlacementController', 'setup']
