"""A node's views of the configuration and the replicas, and their age."""

from ryelatch_node.beliefs._configuration import ConfigurationView
from ryelatch_node.beliefs._replicas import ReplicasChanged, ReplicaView
from ryelatch_node.beliefs._service import setup

__all__ = ['ConfigurationView', 'ReplicaView', 'ReplicasChanged', 'setup']
