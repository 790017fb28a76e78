"""A node's views of the configuration and the replicas, and their age."""

from ryelatch_node.views._configuration import ConfigurationView
from ryelatch_node.views._replicas import ReplicasChanged, ReplicaView
from ryelatch_node.views._service import setup

__all__ = ['ConfigurationView', 'ReplicaView', 'ReplicasChanged', 'setup']
