"""What this node believes of configuration and replicas, and how firmly."""

from ryelatch_node.views._configuration import ConfigurationView
from ryelatch_node.views._replicas import ReplicasChanged, ReplicaView
from ryelatch_node.views._service import setup

__all__ = ['ConfigurationView', 'ReplicaView', 'ReplicasChanged', 'setup']
