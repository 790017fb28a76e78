"""What this node believes of configuration and replicas, and how firmly."""

from ryelatch_node.beliefs._configuration import ConfigurationView
from ryelatch_node.beliefs._replicas import ReplicasChanged, ReplicaView
from ryelatch_node.beliefs._service import setup

__all__ = ['ConfigurationView', 'ReplicaView', 'ReplicasChanged', 'setup']
