"""Moves streams to other paths while they run."""

from dataclasses import dataclass, replace

from ryelatch_core.events import catalogue
from ryelatch_core.fleet import Stage, choose_path
from ryelatch_node.ports import MoveAnswer, OrderResult
from ryelatch_node.relay._exchange import round_seconds
from ryelatch_node.relay._parts import RelayContext
from ryelatch_node.relay._probe import Prober
from ryelatch_node.relay._query import make_path_query
from ryelatch_node.relay._stream import LiveStream

MOVE_TRIES = 3
"""Paths that a stream is offered before it is resumed as a new run.

Each costs two milliseconds, a new run the reading of all tokens so far.
"""


@dataclass(frozen=True)
class StreamMigrator:
    """Orders the first replica of a stream to use another path."""

    context: RelayContext
    prober: Prober

    async def move(
        self,
        stream: LiveStream,
        lost: frozenset[str],
        *,
        crosses: bool = True,
    ) -> OrderResult | None:
        """Order a move, and another if a part of the path has no room.

        :param lost: names of replicas to leave.
        :param crosses: whether the new path may change zones.
        :returns: what became of the last order; nothing if no path was found
            to order.
        """
        result: OrderResult | None = None
        for _ in range(MOVE_TRIES):
            path = self._replan(stream, lost, crosses=crosses)
            if not path:
                break
            moved = await self._order_once(stream, path, lost)
            result = moved.result
            if result is not OrderResult.CONFLICT or not moved.fault:
                break
            self._blame(stream, path, moved.fault)
        return result

    async def _order_once(
        self,
        stream: LiveStream,
        path: tuple[Stage, ...],
        lost: frozenset[str],
    ) -> MoveAnswer:
        identity = stream.request.terms.identity
        pause = self.context.clock.monotonic() - stream.progress
        if not await self.context.throttle.acquire_permit(stream.head):
            return MoveAnswer(OrderResult.REFUSED)
        moved = await self.context.orders.move(stream.head, identity, path)
        stream.exchange.record(
            catalogue.STREAM_MOVED,
            avoiding=sorted(lost),
            result=moved.result.value,
            fault=moved.fault,
            pause=round_seconds(pause),
        )
        if moved.result in {OrderResult.BEGUN, OrderResult.HELD}:
            now = self.context.clock.monotonic()
            self.context.load.remove(stream.path, stream.tokens, now)
            self.context.load.add(path, stream.tokens, now)
            stream.path = path
            stream.progress = now
        return moved

    def _blame(
        self,
        stream: LiveStream,
        path: tuple[Stage, ...],
        address: str,
    ) -> None:
        """Keep away from the replica that a refused move names."""
        for stage in path:
            replica = stage.replica
            if replica.address == address and replica != stream.head:
                self.context.replicas.suspect(replica, 'no room', full=True)
                self.prober.check(replica)

    def _replan(
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
            query, head=stream.path[0], prefilled=prefilled - lost, crosses=crosses
        )
        # The first replica runs its part on, also while it leaves or gives
        # up those layers; the registry says that it offers them no more.
        offered = [
            one
            for one in self.context.replicas.list_service(request.service)
            if one.name != stream.head.name
        ]
        return choose_path([*offered, stream.head], fixed)
