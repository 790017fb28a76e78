"""Knows which replicas this node doesn't reach although other nodes do."""

import asyncio
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass

from ryelatch_core.events import LineLog
from ryelatch_core.fleet import Replica
from ryelatch_core.kernel import App, Service
from ryelatch_core.links import Contacts, Helper, LinkGroup
from ryelatch_node.links._examination import Examiner, make_examiner
from ryelatch_node.links._known_helpers import Helpers
from ryelatch_node.links._prober import LinkProber
from ryelatch_node.links._recovery import Recovery
from ryelatch_node.links._state import LinksChanged, LinkState
from ryelatch_node.links._witnesses import Witnesses
from ryelatch_node.peer_sync import PeerSync, ReachReply, ReachRequest
from ryelatch_node.ports import RelayStartup, ReplicaCommands
from ryelatch_node.tasks import Tasks
from ryelatch_node.views import ReplicaView

HOLD_SECONDS = 0.02
"""Time after which a new connection counts; a reset arrives within 6 ms."""


def _get_no_room() -> int:
    return 0


@dataclass(eq=False)
class Links:
    """The links of this node to the replicas.

    Several failed connections in a row put the links in doubt. They are
    examined: replicas of all groups are probed, and other nodes are asked about
    the groups that didn't respond. A group that another node reaches is lost
    to this node alone, until probes succeed again.

    :param helpers: the nodes that reach replicas.
    :param contacts: new connections to replicas, and those that failed.
    :param get_room: returns how many requests of other nodes this one accepts.
    """

    state: LinkState
    examiner: Examiner
    recovery: Recovery
    prober: LinkProber
    helpers: Helpers
    tasks: Tasks
    contacts: Contacts
    get_room: Callable[[], int] = _get_no_room

    async def stop(self) -> None:
        """Cancel all probes and requests."""
        await self.tasks.stop()
        await self.prober.stop()

    @property
    def lost(self) -> frozenset[LinkGroup]:
        """The groups whose links are lost."""
        return self.state.lost.groups

    @property
    def reliable(self) -> bool:
        """Whether no links are lost or being examined."""
        return self.examiner.settled and not self.lost

    async def has_lost(self, service: str) -> bool:
        """Whether the links to replicas of a service are lost.

        Waits for the examination in progress, if there is one. While the links
        are in doubt, another one is begun: the last may have concluded nothing,
        and the request that asks would be refused.
        """
        await self.examiner.wait()
        if not self.state.lost.has_service(service):
            self._examine_doubts(service)
            await self.examiner.wait()
        return self.state.lost.has_service(service)

    async def choose_helper(
        self, service: str, excluded: Container[str]
    ) -> Helper | None:
        """Choose a node that serves requests to a service.

        Other nodes are asked anew if none is known.

        :param excluded: names of the nodes that didn't serve this request.
        """
        chosen = self.helpers.choose(service, excluded)
        if chosen is None:
            await self.recovery.ask()
            chosen = self.helpers.choose(service, excluded)
        return chosen

    def has_helper(self, service: str) -> bool:
        """Whether a node is known that serves requests to a service."""
        return self.helpers.choose(service) is not None

    def reaches(self, service: str) -> bool:
        """Whether no links to a service are lost or being examined."""
        return self.examiner.settled and not self.state.lost.has_service(
            service
        )

    def is_lost(self, replica: Replica) -> bool:
        """Whether the links to a replica's group are lost."""
        return (replica.service, replica.zone) in self.lost

    async def explains_loss(self, replica: Replica) -> bool:
        """Whether a replica was lost to this node alone.

        Waits for the examination in progress, if there is one.
        """
        await self.examiner.wait()
        return self.is_lost(replica)

    def record_connected(self, address: str) -> None:
        """Record a new connection, which counts unless it is reset at once.

        :param address: ``host:port`` of the replica.
        """
        loop = asyncio.get_running_loop()
        connected = self.state.clock.monotonic()
        # The second half begins when the first one was noticed. If this process
        # ran late, a reset that has arrived is read in between.
        loop.call_later(
            HOLD_SECONDS / 2,
            loop.call_later,
            HOLD_SECONDS / 2,
            self._confirm,
            address,
            connected,
        )

    def record_reached(self, address: str) -> None:
        """Record a connection to a replica that proved to work.

        :param address: ``host:port`` of the replica.
        """
        self.contacts.record_reached(address, self.state.clock.monotonic())

    def record_failed_address(self, address: str) -> None:
        """Record a connection to a replica that failed, or takes too long."""
        listed = self.state.replicas.replicas.values()
        self.record_failed(
            replica for replica in listed if replica.address == address
        )

    def record_failed(self, replicas: Iterable[Replica]) -> None:
        """Record replicas to which no connection was established.

        The links are examined if they are in doubt now.
        """
        failed = tuple(replicas)
        now = self.state.clock.monotonic()
        for replica in failed:
            self.contacts.record_failed(replica.address, now)
        if any(self._is_doubtful(replica, now) for replica in failed):
            self._examine(now)

    def record_silent_path(self, path: Iterable[Replica]) -> None:
        """Record that no replica of a path responded, however few these are.

        The links are examined, unless they are known to be lost.
        """
        silent = tuple(path)
        self.record_failed(silent)
        if not all(map(self.is_lost, silent)):
            self._examine(self.state.clock.monotonic())

    async def reply(self, request: ReachRequest) -> ReachReply:
        """Reply to a node that asks what this one reaches."""
        groups = [LinkGroup(*group) for group in request.groups]
        results = await asyncio.gather(*map(self._reaches, groups))
        reached = tuple(
            group
            for group, is_reached in zip(groups, results, strict=True)
            if is_reached
        )
        return ReachReply(reached, self.get_room())

    def forget_removed(self) -> None:
        """Forget replicas that are no longer listed."""
        known = self.state.replicas.replicas.values()
        self.contacts.keep({replica.address for replica in known})
        self.state.forget_removed()

    def _confirm(self, address: str, connected: float) -> None:
        """Count a connection, unless it failed since it was established."""
        if not self.contacts.has_failed(address, connected):
            self.record_reached(address)

    def _examine_doubts(self, service: str) -> None:
        now = self.state.clock.monotonic()
        listed = self.state.replicas.list_service(service)
        if any(self._is_doubtful(replica, now) for replica in listed):
            self._examine(now)

    def _examine(self, since: float) -> None:
        if self.examiner.begin():
            self.tasks.spawn(self.examiner.run(since))

    def _is_doubtful(self, failed: Replica, now: float) -> bool:
        if self.is_lost(failed):
            return False
        listed = self.state.replicas.list_service(failed.service)
        return self.contacts.is_doubtful(failed, listed, now)

    async def _reaches(self, group: LinkGroup) -> bool:
        """Whether this node reaches a group, for a node that asks.

        Earlier connections prove nothing: if several nodes lose their links at
        the same moment, each of them would be sent the requests of the others.
        """
        if group in self.lost:
            return False
        listed = self.state.list_group(group)
        return await self.prober.reaches(group, listed)


def setup(app: App) -> None:
    """Add the service ``links``."""
    log = app.find('log', LineLog)
    peer_sync = app.find('news', PeerSync)
    tasks = Tasks(log, 'links')
    sample = app.random_source.random
    helpers = Helpers(app.clock, app.find('startup', RelayStartup).zone)
    state = LinkState(
        log, app.clock, app.hub, app.find('replicas', ReplicaView)
    )
    prober = LinkProber(app.clock, app.find('orders', ReplicaCommands), sample)
    witnesses = Witnesses(app.clock, peer_sync, sample, tasks, helpers)
    contacts = Contacts()
    recovery = Recovery(state, prober, witnesses, tasks)
    links = Links(
        state,
        make_examiner(state, prober, witnesses, contacts),
        recovery,
        prober,
        helpers,
        tasks,
        contacts,
    )
    app.hub.connect(LinksChanged, lambda _: recovery.start())
    peer_sync.server.handle_reach_request = links.reply
    app.add(Service('links', links, ('news', 'replicas'), stop=links.stop))
