"""Keeps requests under which replicas end from replicas."""

from ryelatch_node.quarantine._service import Quarantine, setup

__all__ = ['Quarantine', 'setup']
