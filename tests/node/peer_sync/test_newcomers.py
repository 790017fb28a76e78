"""Connections that show no sign of a peer."""

import contextlib
from dataclasses import dataclass
from typing import Any

from ryelatch_node.peer_sync._newcomers import Newcomers


@dataclass(eq=False)
class _Writer:
    """A connection that records its end."""

    aborted: bool = False

    @property
    def transport(self) -> '_Writer':
        """Itself."""
        return self

    def abort(self) -> None:
        """End it."""
        self.aborted = True


def test_silent_connections_leave_descriptors() -> None:
    """Connections to the port for nodes take all descriptors of a node."""
    newcomers = Newcomers()
    newcomers.set_descriptors(300)
    writers: list[Any] = [_Writer() for _ in range(100)]
    with contextlib.ExitStack() as stack:
        for writer in writers:
            stack.enter_context(newcomers.admit(writer))
    assert [writer.aborted for writer in writers] == [True] * 70 + [False] * 30


def test_peer_with_a_frame_is_no_newcomer() -> None:
    """A peer is cut off, as others connect."""
    newcomers = Newcomers(limit=1)
    peer: Any = _Writer()
    with newcomers.admit(peer):
        assert not peer.aborted
    for _ in range(5):
        writer: Any = _Writer()
        with newcomers.admit(writer):
            assert not writer.aborted
    assert not peer.aborted
