"""Layer placement, which one node controls at a time under a lease."""

from ryelatch_node.duty._lease import LeaseKeeper
from ryelatch_node.duty._service import PlacementDuty, setup

__all__ = ['LeaseKeeper', 'PlacementDuty', 'setup']
