"""Typed messages between services of one process."""

from collections import defaultdict
from collections.abc import Callable
from typing import Any, TypeVar

_Message = TypeVar('_Message')


class Hub:
    """Passes each message to the handlers connected to its class."""

    def __init__(self) -> None:
        self._handlers: dict[type[Any], list[Callable[[Any], None]]] = (
            defaultdict(list)
        )

    def connect(
        self,
        kind: type[_Message],
        handler: Callable[[_Message], None],
    ) -> None:
        """Connect a handler to a class of messages.

        :param kind: exact class of the messages; subclasses do not count.
        :param handler: called for each message, in the order in which handlers
            were connected; must not block.
        """
        self._handlers[kind].append(handler)

    def emit(self, message: object) -> None:
        """Call all handlers of a message before returning."""
        for handler in self._handlers[type(message)]:
            handler(message)
