"""The platform's object API, as this process uses it."""

from ryelatch_node.store._client import Entry, Store, StoreError, open_store
from ryelatch_node.store._service import setup

__all__ = ['Entry', 'Store', 'StoreError', 'open_store', 'setup']
