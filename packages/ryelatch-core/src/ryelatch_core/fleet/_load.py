"""What a node has in progress at each replica."""

from collections import Counter
from collections.abc import Iterable

from ryelatch_core.fleet._types import Stage


class LoadBook:
    """Requests and tokens that this node has at each replica, by name."""

    def __init__(self) -> None:
        self.requests: Counter[str] = Counter()
        self.tokens: Counter[str] = Counter()

    def add(self, path: Iterable[Stage], tokens: int) -> None:
        """Note a request that was sent on a path."""
        for stage in path:
            self.requests[stage.replica.name] += 1
            self.tokens[stage.replica.name] += tokens

    def remove(self, path: Iterable[Stage], tokens: int) -> None:
        """Note the end of a request."""
        for stage in path:
            name = stage.replica.name
            self.requests[name] -= 1
            self.tokens[name] -= tokens
            if self.requests[name] <= 0:
                del self.requests[name]
                del self.tokens[name]
