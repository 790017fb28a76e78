"""Work that one node does at a time: which replica holds which layers."""

from ryelatch_node.duty._lease import LeaseKeeper
from ryelatch_node.duty._service import PlacementDuty, setup

__all__ = ['LeaseKeeper', 'PlacementDuty', 'setup']
