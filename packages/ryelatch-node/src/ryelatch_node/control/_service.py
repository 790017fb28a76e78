"""Repair: assigns the layers of lost engines to other engines."""

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
from ryelatch_node.connections import BoundedConnector, make_surplus_hook
from ryelatch_node.control._lease_manager import LeaseManager
from ryelatch_node.peers import Peers
from ryelatch_node.store import Store
from ryelatch_node.upstreams import EngineLink, Upstreams

CHECK_SECONDS = 0.25
GRACE_SECONDS = 0.75
TURN_SECONDS = 1.0
_CONFIRMATION_SECONDS = 2.0


class Repair:
    """Finds layers that no engine holds and commands engines to load them.

    The request path does not wait for a repair: answers use the chains that
    remain. The lease is held only while a repair is needed, so a healthy fleet
    writes nothing to the store.

    :param name: name of this node.
    """

    def __init__(self, app: App, leases: LeaseManager, name: str) -> None:
        self._app = app
        self._leases = leases
        self._name = name
        self._timeline = app.find('timeline', Timeline)
        self._settings_holder = app.find('settings', SettingsHolder)
        self._upstreams = app.find('upstreams', Upstreams)
        self._needed_since: dict[str, float] = {}
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to check the layers of all models."""
        self._session = aiohttp.ClientSession(
            connector=BoundedConnector(make_surplus_hook(self._timeline))
        )
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop, and release all leases."""
        await cancel_task(self._task)
        for task in list(self._leases.held):
            await self._leases.release(task)
        if self._session is not None:
            await self._session.close()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            for name, model in self._settings_holder.settings.models.items():
                await self._repair_model(name, model)

    async def _repair_model(self, name: str, model: Model) -> None:
        task = f'repair/{name}'
        move = self._plan(name, model)
        if move is None:
            self._needed_since.pop(name, None)
            await self._leases.release(task)
            return
        now = self._app.clock.monotonic()
        since = self._needed_since.setdefault(name, now)
        if now - since < GRACE_SECONDS + self._compute_turn_delay(name):
            return
        if not await self._leases.take(task):
            return
        if self._leases.may_send_command(task):
            await self._send_command(task, name, model, move)

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

    def _compute_turn_delay(self, model: str) -> float:
        """Compute the seconds that this node waits for others to act first.

        All nodes see a gap at the same time; without turns, all of them would
        write to the store at once.
        """
        peers = self._app.find('peers', Peers)
        names = sorted(
            {self._name, *peers.peers},
            key=lambda node: hashlib.sha256(
                f'{model} {node}'.encode()
            ).digest(),
        )
        return names.index(self._name) * TURN_SECONDS

    async def _send_command(
        self,
        task: str,
        name: str,
        model: Model,
        move: Move,
    ) -> None:
        """Send one command, and wait until the engine reports its effect."""
        link = self._upstreams.links.get(move.name)
        if link is None or link.hello is None:
            return
        rules = self._settings_holder.settings.engines.get(link.hello.kind)
        checks_fence = rules is not None and rules.fencing
        if not checks_fence and not await self._leases.renew(task):
            # This engine does not check fencing numbers. The renewal just
            # before is the only proof that the lease has not expired. A pause
            # between it and the arrival of the command remains possible; the
            # timeout of the command bounds it.
            self._timeline.record(
                catalogue.ORDER_REFUSED, upstream=move.name, reason='lapsed'
            )
            return
        held = self._leases.held[task]
        command = {
            'fence': held.lease.fence,
            'first': move.first,
            'last': move.last,
            'version': model.version,
        }
        status = await self._post(link, command)
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
        await self._wait_until_applied(link, move)

    async def _post(self, link: EngineLink, command: dict[str, object]) -> int:
        if self._session is None:
            return 0
        try:
            async with self._session.post(
                f'http://{link.vm.address}/v1/orders',
                json=command,
                timeout=aiohttp.ClientTimeout(COMMAND_TIMEOUT_SECONDS),
            ) as response:
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            return HTTPStatus.GATEWAY_TIMEOUT

    async def _wait_until_applied(self, link: EngineLink, move: Move) -> None:
        """Wait until the engine reports the layers, or a timeout passes."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + _CONFIRMATION_SECONDS
        while loop.time() < deadline:
            hello = link.hello
            if hello and (hello.first, hello.last) == (move.first, move.last):
                return
            await asyncio.sleep(CHECK_SECONDS / 4)


def setup(app: App) -> None:
    """Add the service ``repair``."""
    name = app.find('startup', Startup).name
    leases = LeaseManager(
        app.find('store', Store),
        app.find('timeline', Timeline),
        app.clock,
        name,
    )
    repair = Repair(app, leases, name)
    app.add(
        Service(
            'repair',
            repair,
            ('peers', 'settings', 'upstreams'),
            start=repair.start,
            stop=repair.stop,
        )
    )
