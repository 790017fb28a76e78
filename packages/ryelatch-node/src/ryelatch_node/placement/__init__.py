"""Layer placement, which one node controls at a time under a lease."""

from ryelatch_node.placement._lease import LeaseManager
from ryelatch_node.placement._service import PlacementController, setup

__all__ = ['LeaseManager', 'PlacementController', 'setup']
