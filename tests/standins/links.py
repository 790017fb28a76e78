"""Stand-in for the links of a node that never loses any."""

from collections.abc import Iterable

from ryelatch_core.fleet import Replica


class SoundLinks:
    """Links that are never lost or in doubt."""

    def record_reached(self, address: str) -> None:
        """Ignore a connection that works."""

    def record_failed(self, replicas: Iterable[Replica]) -> None:
        """Ignore replicas that can't be reached."""

    def record_silent_path(self, path: Iterable[Replica]) -> None:
        """Ignore a path of which no replica responded."""

    def is_lost(self, _: Replica) -> bool:
        """Return that no replica is lost to this node alone."""
        return False

    def has_helper(self, _: str) -> bool:
        """Return that other nodes serve requests."""
        return True

    async def explains_loss(self, _: Replica) -> bool:
        """Return that no loss is due to this node's links."""
        return False
