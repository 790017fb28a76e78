"""Typed messages between services of one process."""

from collections import defaultdict
from collections.abc import Callable
from typing import Any, TypeVar

_Message = TypeVar('_Message')


class Hub:
    """Hands each message to the handlers connected to its class."""

    def __init__(self) -> None:
        self._handlers: dict[type[Any], list[Callable[[Any], None]]] = (
            defaultdict(list)
        )

    def connect(
        self,
        kind: type[_Message],
        handler: Callable[[_Message], None],
    ) -> None:
        """Call the handler for each message of a class.

        :param kind: the exact class of message.
        :param handler: called in the order of connecting; must not block.
        """
        self._handlers[kind].append(handler)

    def emit(self, message: object) -> None:
        """Hand a message to its handlers before returning."""
        for handler in self._handlers[type(message)]:
            handler(message)
