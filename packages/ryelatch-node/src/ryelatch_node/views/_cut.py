"""The replicas that other nodes reach, but not this one."""

from collections.abc import Mapping

from ryelatch_core.fleet import Replica


class CutReplicas:
    """Which of the listed replicas this node alone can't reach.

    :param replicas: the listed replicas by name.
    """

    def __init__(self, replicas: Mapping[str, Replica]) -> None:
        self._replicas = replicas
        self._groups: frozenset[tuple[str, str]] = frozenset()

    def list_names(self) -> frozenset[str]:
        """List the names of these replicas."""
        if not self._groups:
            return frozenset()
        return frozenset(
            replica.name for replica in self._list_in(self._groups)
        )

    def change(self, groups: frozenset[tuple[str, str]]) -> list[Replica]:
        """Change which replicas are cut off.

        :param groups: their services and availability zones.
        :returns: the replicas for which that has changed.
        """
        changed = groups ^ self._groups
        self._groups = groups
        return self._list_in(changed)

    def _list_in(self, groups: frozenset[tuple[str, str]]) -> list[Replica]:
        return [
            replica
            for replica in self._replicas.values()
            if (replica.service, replica.zone) in groups
        ]
