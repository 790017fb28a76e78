"""Client of the platform's object store."""

from ryelatch_node.store._client import Entry, Store, StoreError, open_store
from ryelatch_node.store._service import setup

__all__ = ['Entry', 'Store', 'StoreError', 'open_store', 'setup']
