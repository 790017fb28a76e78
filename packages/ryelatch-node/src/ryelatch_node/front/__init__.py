"""HTTP interface of a node, for clients and operators."""

from ryelatch_node.front._service import HttpServer, setup

__all__ = ['HttpServer', 'setup']
