"""The service ``upstreams``: the list of VMs and links to engines."""

import asyncio
import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus

import aiohttp

from ryelatch_core.events import Timeline, catalogue
from ryelatch_core.kernel import App, Service, cancel_task
from ryelatch_core.membership import Roster, Vm
from ryelatch_core.pipeline import StepKey
from ryelatch_core.settings import Startup
from ryelatch_node.config import SettingsHolder
from ryelatch_node.connections import BoundedConnector, make_surplus_hook
from ryelatch_node.store import Store
from ryelatch_node.upstreams._link import EngineLink

LIST_INTERVAL_SECONDS = 1.0
_ENGINE = 'engine'
_NODE = 'node'
_FALLBACK_TURNS = 15


@dataclass(frozen=True)
class LinkChanged:
    """Emitted when an engine connects, changes its layers, or is lost."""

    link: EngineLink


@dataclass(frozen=True)
class RosterChanged:
    """Emitted when VMs are leaving.

    :param leaving: names of the VMs that are newly known to be leaving.
    """

    leaving: tuple[str, ...] = ()


class Upstreams:
    """All known upstreams, with links to the engines.

    :param should_list: whether this node reads the platform's list at every
        interval; the other nodes receive it from a peer.
    """

    def __init__(self, app: App, timeline: Timeline) -> None:
        self.roster = Roster()
        self.links: dict[str, EngineLink] = {}
        self.should_list: Callable[[], bool] = lambda: True
        self._app = app
        self._timeline = timeline
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Read the list of VMs once, then poll it."""
        # By default, aiohttp allows 100 connections. Links hold theirs open,
        # so further engines would wait for a free one forever.
        self._session = aiohttp.ClientSession(
            connector=BoundedConnector(
                make_surplus_hook(self._timeline), limit=0
            )
        )
        await self._read_list()
        self._task = asyncio.create_task(self._follow())

    async def stop(self) -> None:
        """Close all links."""
        await cancel_task(self._task)
        await asyncio.gather(*(link.close() for link in self.links.values()))
        if self._session is not None:
            await self._session.close()

    def list_engines(self, model: str) -> list[EngineLink]:
        """List the engines of a model that may get new work."""
        return [
            link
            for link in self.links.values()
            if link.usable
            and link.hello is not None
            and link.hello.model == model
            and not self._is_leaving(link.vm.name)
        ]

    def list_service_vms(self, role: str) -> list[Vm]:
        """List the upstreams of a non-model service that may get new work."""
        return self.roster.list_role(role)

    def list_vms(self) -> tuple[Vm, ...]:
        """List all known VMs as the platform last listed them."""
        return tuple(member.vm for member in self.roster.members.values())

    async def apply_vm_list(self, vms: Iterable[Vm], *, settled: bool) -> None:
        """Apply a list of VMs, and open and close links accordingly.

        :param settled: whether VMs missing from the list are certainly gone.
        """
        change = self.roster.apply_list(vms, settled=settled)
        self._announce(change.leaving, 'list')
        for vm in change.joined:
            if vm.role == _ENGINE:
                await self._open_link(vm)
        for name in change.left:
            link = self.links.pop(name, None)
            if link is not None:
                await link.close()

    def record_leaving(self, name: str) -> None:
        """Record that an upstream reports that it is leaving."""
        if self.roster.record_leaving(name):
            self._announce((name,), 'upstream')

    def apply_peer(self, peer: str, names: Iterable[str]) -> None:
        """Apply the upstreams that a peer reports to be leaving."""
        self._announce(self.roster.apply_peer(peer, names), 'peer')

    def _announce(self, names: tuple[str, ...], source: str) -> None:
        for name in names:
            self._timeline.record(
                catalogue.UPSTREAM_LEAVING, upstream=name, source=source
            )
        if names:
            self._app.hub.emit(RosterChanged(names))

    def _is_leaving(self, name: str) -> bool:
        member = self.roster.members.get(name)
        return member is None or member.leaving

    async def _follow(self) -> None:
        for turn in itertools.count(1):
            await asyncio.sleep(LIST_INTERVAL_SECONDS)
            if self.should_list() or turn % _FALLBACK_TURNS == 0:
                await asyncio.gather(self._read_list(), self._check_health())

    async def _read_list(self) -> None:
        found = await self._app.find('store', Store).list_vms()
        if found.is_ok():
            await self.apply_vm_list(found.unwrap(), settled=False)

    async def _check_health(self) -> None:
        """Check the health of non-model upstreams to find leaving ones.

        The nodes that watch for an availability zone check the upstreams in
        it and in zones without a node, and report leaving ones to the peers.
        """
        services = self._app.find('settings', SettingsHolder).settings.services
        zones = {vm.zone for vm in self.roster.list_role(_NODE)}
        zones.discard(self._app.find('startup', Startup).zone)
        checks = [
            self._check_vm_health(member.vm, service.health)
            for service in services.values()
            for member in self.roster.members.values()
            if member.vm.role == service.role and member.vm.zone not in zones
        ]
        await asyncio.gather(*checks)

    async def _check_vm_health(self, vm: Vm, path: str) -> None:
        if self._session is None:
            return
        timeout = aiohttp.ClientTimeout(LIST_INTERVAL_SECONDS)
        try:
            async with self._session.get(
                f'http://{vm.address}{path}', timeout=timeout
            ) as response:
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return  # A request to this upstream will fail by itself.
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            self.record_leaving(vm.name)
        elif status == HTTPStatus.OK:
            self.roster.record_staying(vm.name)

    async def _open_link(self, vm: Vm) -> None:
        known = self.links.pop(vm.name, None)
        if known is not None:
            await known.close()
        link = EngineLink(vm, self._handle_link_change, self._record_unmatched)
        self.links[vm.name] = link
        if self._session is not None:
            link.start(self._session)

    def _handle_link_change(self, link: EngineLink, reason: str) -> None:
        name = link.vm.name
        if link.hello is None:
            self._timeline.record(
                catalogue.UPSTREAM_DOWN, upstream=name, reason=reason
            )
        elif link.hello.leaving:
            self.record_leaving(name)
        else:
            self.roster.record_staying(name)
            self._timeline.record(
                catalogue.UPSTREAM_UP,
                upstream=name,
                layers=f'{link.hello.first}-{link.hello.last}',
                version=link.hello.version,
            )
        self._app.hub.emit(LinkChanged(link))

    def _record_unmatched(self, link: EngineLink, key: StepKey) -> None:
        self._timeline.record(
            catalogue.FRAME_DROPPED,
            upstream=link.vm.name,
            request=key.stream,
            attempt=key.attempt,
            position=key.position,
        )


def setup(app: App) -> None:
    """Add the service ``upstreams``."""
    upstreams = Upstreams(app, app.find('timeline', Timeline))
    app.add(
        Service(
            'upstreams',
            upstreams,
            ('store', 'timeline'),
            start=upstreams.start,
            stop=upstreams.stop,
        )
    )
