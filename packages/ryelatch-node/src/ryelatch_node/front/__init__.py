"""What callers and operators speak to: HTTP."""

from ryelatch_node.front._service import Front, setup

__all__ = ['Front', 'setup']
