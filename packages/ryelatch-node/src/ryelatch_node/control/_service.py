"""Repair: layers of engines that are gone are given to others."""

import asyncio
import hashlib
from http import HTTPStatus

import aiohttp

from ryelatch_core.events import Timeline, catalogue
from ryelatch_core.kernel import App, Service, cancel_task
from ryelatch_core.membership import COMMAND_TIMEOUT_SECONDS
from ryelatch_core.pipeline import Holding, Move, plan_repair
from ryelatch_core.settings import Model, Startup
from ryelatch_node.config import SettingsHolder
from ryelatch_node.control._lease_manager import LeaseManager
from ryelatch_node.peers import Peers
from ryelatch_node.store import Store
from ryelatch_node.upstreams import EngineLink, Upstreams

LOOK_SECONDS = 0.25
GRACE_SECONDS = 0.75
RANK_SECONDS = 1.0
_SEEN_SECONDS = 2.0


class Repair:
    """Looks for layers without an engine, and orders what mends it.

    Nothing on the request path waits for it: answers go on over what chains
    there are. A lease is held only while there is something to mend, so an
    idle fleet writes nothing to the store.
    """

    def __init__(self, app: App, keeper: LeaseManager, name: str) -> None:
        self._app = app
        self._keeper = keeper
        self._name = name
        self._timeline = app.find('timeline', Timeline)
        self._holder = app.find('settings', SettingsHolder)
        self._upstreams = app.find('upstreams', Upstreams)
        self._since: dict[str, float] = {}
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start looking."""
        self._session = aiohttp.ClientSession()
        self._task = asyncio.create_task(self._look())

    async def stop(self) -> None:
        """Give back all leases."""
        await cancel_task(self._task)
        for duty in list(self._keeper.held):
            await self._keeper.release(duty)
        if self._session is not None:
            await self._session.close()

    async def _look(self) -> None:
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            for name, model in self._holder.settings.models.items():
                await self._mend(name, model)

    async def _mend(self, name: str, model: Model) -> None:
        duty = f'repair/{name}'
        move = self._plan(name, model)
        if move is None:
            self._since.pop(name, None)
            await self._keeper.release(duty)
            return
        now = self._app.clock.monotonic()
        since = self._since.setdefault(name, now)
        if now - since < GRACE_SECONDS + self._wait_turn(name):
            return
        if not await self._keeper.take(duty):
            return
        if self._keeper.may_send_command(duty):
            await self._order(duty, name, model, move)

    def _plan(self, name: str, model: Model) -> Move | None:
        links = self._upstreams.list_engines(name)
        holdings = [
            Holding(
                link.vm.name, link.hello.first, link.hello.last, link.hello.rate
            )
            for link in links
            if link.hello is not None and link.hello.version == model.version
        ]
        return plan_repair(holdings, model.layers)

    def _wait_turn(self, model: str) -> float:
        """Seconds by which this node lets others go first.

        All nodes see a gap at the same moment; without turns each would
        write to the store at once.
        """
        peers = self._app.find('peers', Peers)
        names = sorted(
            {self._name, *peers.peers},
            key=lambda node: hashlib.sha256(
                f'{model} {node}'.encode()
            ).digest(),
        )
        return names.index(self._name) * RANK_SECONDS

    async def _order(
        self,
        duty: str,
        name: str,
        model: Model,
        move: Move,
    ) -> None:
        """Send one order and read its effect back."""
        link = self._upstreams.links.get(move.name)
        if link is None or link.hello is None:
            return
        rules = self._holder.settings.engines.get(link.hello.kind)
        checks_fence = rules is not None and rules.fencing
        if not checks_fence and not await self._keeper.renew(duty):
            # This engine would take an order from anyone. The renewal just
            # before is the only proof that the lease has not lapsed; what is
            # left is a pause between it and the engine's reading of the
            # order, which the order's time limit bounds.
            self._timeline.record(
                catalogue.ORDER_REFUSED, upstream=move.name, reason='lapsed'
            )
            return
        held = self._keeper.held[duty]
        order = {
            'fence': held.lease.fence,
            'first': move.first,
            'last': move.last,
            'version': model.version,
        }
        status = await self._post(link, order)
        kind = (
            catalogue.ORDER_SENT
            if status < HTTPStatus.BAD_REQUEST
            else catalogue.ORDER_REFUSED
        )
        self._timeline.record(
            kind,
            model=name,
            upstream=move.name,
            layers=f'{move.first}-{move.last}',
            fence=held.lease.fence,
            reason=move.reason,
            status=status,
        )
        await self._wait_effect(link, move)

    async def _post(self, link: EngineLink, order: dict[str, object]) -> int:
        if self._session is None:
            return 0
        try:
            async with self._session.post(
                f'http://{link.vm.address}/v1/orders',
                json=order,
                timeout=aiohttp.ClientTimeout(COMMAND_TIMEOUT_SECONDS),
            ) as response:
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            return HTTPStatus.GATEWAY_TIMEOUT

    async def _wait_effect(self, link: EngineLink, move: Move) -> None:
        """Wait until the engine says itself that it holds the layers."""
        loop = asyncio.get_running_loop()
        due = loop.time() + _SEEN_SECONDS
        while loop.time() < due:
            hello = link.hello
            if hello and (hello.first, hello.last) == (move.first, move.last):
                return
            await asyncio.sleep(LOOK_SECONDS / 4)


def setup(app: App) -> None:
    """Add the service ``repair``."""
    name = app.find('startup', Startup).name
    keeper = LeaseManager(
        app.find('store', Store),
        app.find('timeline', Timeline),
        app.clock,
        name,
    )
    repair = Repair(app, keeper, name)
    app.add(
        Service(
            'repair',
            repair,
            ('peers', 'settings', 'upstreams'),
            start=repair.start,
            stop=repair.stop,
        )
    )
