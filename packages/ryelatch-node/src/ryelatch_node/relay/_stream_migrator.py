"""Migrates running streams to other paths."""

from dataclasses import dataclass, replace

from ryelatch_core.events import catalogue
from ryelatch_core.fleet import Stage, choose_path
from ryelatch_node.ports import CommandResult, MoveResult
from ryelatch_node.relay._context import RelayContext
from ryelatch_node.relay._exchange import round_seconds
from ryelatch_node.relay._places import record_path
from ryelatch_node.relay._probe import Prober
from ryelatch_node.relay._query import make_path_query
from ryelatch_node.relay._stream import LiveStream

MOVE_TRIES = 3
"""Paths tried for a stream before it is resumed as a new run.

Each attempt costs two milliseconds; a new run reads all tokens again.
"""


@dataclass(frozen=True)
class StreamMigrator:
    """Commands the first replica of a stream to use another path."""

    context: RelayContext
    prober: Prober

    async def move(
        self,
        stream: LiveStream,
        lost: frozenset[str],
        *,
        crosses: bool = True,
    ) -> CommandResult | None:
        """Move a stream to another path that avoids some replicas.

        If a replica of the new path has no memory left, that replica is
        suspected and another path is tried.

        :param lost: names of the replicas to avoid.
        :param crosses: whether the new path may change zones.
        :returns: result of the last command; ``None`` if there was no path.
        """
        result: CommandResult | None = None
        for _ in range(MOVE_TRIES):
            path = self._choose_path(stream, lost, crosses=crosses)
            if not path:
                break
            moved = await self._command(stream, path, lost)
            result = moved.result
            if result is not CommandResult.CONFLICT or not moved.fault:
                break
            self._suspect(stream, path, moved.fault)
        return result

    async def _command(
        self,
        stream: LiveStream,
        path: tuple[Stage, ...],
        lost: frozenset[str],
    ) -> MoveResult:
        identity = stream.request.terms.identity
        pause = self.context.clock.monotonic() - stream.progress
        permitted = await self.context.throttle.acquire_permit(
            stream.first_replica
        )
        if stream.finished or not permitted:
            return MoveResult(CommandResult.REFUSED)
        moved = await self.context.commands.move(
            stream.first_replica, identity, path
        )
        stream.exchange.record(
            catalogue.STREAM_MOVED,
            avoiding=sorted(lost),
            result=moved.result.value,
            fault=moved.fault,
            pause=round_seconds(pause),
        )
        accepted = moved.result in {CommandResult.BEGUN, CommandResult.HELD}
        # The load of a stream that finished meanwhile is no longer counted.
        if accepted and not stream.finished:
            now = self.context.clock.monotonic()
            load, own = self.context.load, not stream.request.origin
            load.remove(stream.path, stream.tokens, now, own=own)
            load.add(path, stream.tokens, now, own=own)
            stream.path = path
            record_path(self.context, stream.exchange, path)
            stream.progress = now
        return moved

    def _suspect(
        self,
        stream: LiveStream,
        path: tuple[Stage, ...],
        address: str,
    ) -> None:
        """Suspect the replica that a refused move command names."""
        for stage in path:
            replica = stage.replica
            if replica.address == address and replica != stream.first_replica:
                self.context.replicas.suspect(replica, 'no room', full=True)
                self.prober.check(replica)

    def _choose_path(
        self,
        stream: LiveStream,
        lost: frozenset[str],
        *,
        crosses: bool,
    ) -> tuple[Stage, ...]:
        request = stream.request
        query = make_path_query(
            self.context, request, lost | self.context.replicas.list_suspects()
        )
        if query is None:
            return ()
        prefilled = frozenset(stage.replica.name for stage in stream.path)
        fixed = replace(
            query,
            first_stage=stream.path[0],
            prefilled=prefilled - lost,
            crosses=crosses,
        )
        # The first replica goes on with its stage even while it leaves or
        # releases those layers, though the registry lists them no more.
        offered = [
            replica
            for replica in self.context.replicas.list_service(request.service)
            if replica.name != stream.first_replica.name
        ]
        return choose_path([*offered, stream.first_replica], fixed)
