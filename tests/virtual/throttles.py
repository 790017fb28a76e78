"""Nodes that grant each other permits, in virtual time."""

import asyncio
import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from fleet.running import make_startup
from ryelatch_core.events import LineLog
from ryelatch_core.fleet import Replica
from ryelatch_core.membership import NodeEntry
from ryelatch_node.peer_sync import PeerSync
from ryelatch_node.ports import AnswerMetadata
from ryelatch_node.throttle import PermitClient, Throttle
from virtual.links import LINK_SECONDS, open_pair
from virtual.loop import VirtualClock

REPLICA = Replica('b-0', 'booking', '10.0.0.1:8000', 'zone-a')


@dataclass(eq=False)
class ThrottledFleet:
    """Nodes that send to one replica, which names a limit.

    :param limit: named in each answer; nothing for none.
    :param unreachable: nodes that can't be reached.
    :param sent: when a request reached the replica, and from which node.
    """

    limit: float | None
    nodes: dict[str, Throttle] = field(default_factory=dict)
    unreachable: set[str] = field(default_factory=set)
    sent: list[tuple[float, str]] = field(default_factory=list)
    lines: list[dict[str, Any]] = field(default_factory=list)
    _tasks: list['asyncio.Task[None]'] = field(default_factory=list)

    def start(self, names: Iterable[str]) -> None:
        """Start nodes that know each other."""
        for name in names:
            self.nodes[name] = self._make(name)
        self.update_nodes(self.nodes, self.nodes)

    def update_nodes(self, knowing: Iterable[str], known: Iterable[str]) -> None:
        """Let some nodes know of some nodes."""
        entries = [NodeEntry(name, 'zone-a', f'{name}:1') for name in known]
        for name in knowing:
            self.nodes[name].peer_sync.update_nodes(entries)

    async def send(self, name: str) -> bool:
        """Send a request from a node, if it has leave, and hear the answer."""
        throttle = self.nodes[name]
        if REPLICA.name in throttle.list_closed():
            return False
        if not await throttle.acquire_permit(REPLICA):
            return False
        self.sent.append((asyncio.get_running_loop().time(), name))
        throttle.record_answer(REPLICA, make_metadata(self.limit))
        return True

    async def send_in_turn(self, names: list[str], seconds: float, gap: float) -> None:
        """Send from some nodes in turn, one request each so many seconds."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + seconds
        while loop.time() < ends:
            for name in names:
                self._tasks.append(asyncio.create_task(self._press_once(name)))
                await asyncio.sleep(gap)

    def count_max(self, since: float, span: float) -> int:
        """Count the most requests that came within some seconds."""
        times = [at for at, _ in self.sent if at >= since]
        return max(
            (sum(one <= at < one + span for at in times) for one in times),
            default=0,
        )

    async def stop(self) -> None:
        """Stop all nodes."""
        for task in self._tasks:
            task.cancel()
        for throttle in self.nodes.values():
            await throttle.stop()

    async def _press_once(self, name: str) -> None:
        await self.send(name)

    def _make(self, name: str) -> Throttle:
        clock = VirtualClock()
        log = LineLog(name, clock, self._write)
        startup = make_startup(1)._replace(name=name)
        peer_sync = PeerSync(log, clock, startup, self._dial)
        return Throttle(
            log, clock, startup, peer_sync, PermitClient(log, clock, peer_sync)
        )

    def _write(self, line: bytes) -> int:
        self.lines.append(json.loads(line))
        return len(line)

    async def _dial(self, host: str, _: int) -> Any:
        if host in self.unreachable:
            await asyncio.Event().wait()
        await asyncio.sleep(LINK_SECONDS)
        near, far = open_pair(lambda: host not in self.unreachable)
        serving = self.nodes[host].peer_sync.server.serve(*far)
        self._tasks.append(asyncio.create_task(serving))
        return near


def make_metadata(limit: float | None, *, signed: bool = True) -> AnswerMetadata:
    """Make what an answer says that names a limit."""
    return AnswerMetadata('', signed, not signed, '', False, limit=limit)
