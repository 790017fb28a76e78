"""Finds out whether replicas are lost, or only the links of this node."""

import asyncio
from dataclasses import dataclass, replace
from itertools import islice

from ryelatch_core.events import catalogue
from ryelatch_core.links import Contacts, LinkGroup, ProbeResult, group_replicas
from ryelatch_node.links._prober import LinkProber
from ryelatch_node.links._state import LinkState
from ryelatch_node.links._witnesses import Witnesses

FIRST_COOLDOWN_SECONDS = 0.4
"""Time after an examination in which no other one begins.

One that concluded nothing about a group doesn't count.
"""

MAX_COOLDOWN_SECONDS = 3.0
"""Maximum of that time, which doubles while no links are found to be lost."""

MAX_GROUPS = 24
"""Groups that are probed in one examination, those with failures first.

With 33 services in 13 zones, all nodes would open a million connections when a
zone loses power. In small fleets all groups are probed, so that one examination
finds all that is lost.
"""

SETTLE_SECONDS = 0.6
"""Longest wait of a request for an examination in progress."""

_DIGITS = 3


@dataclass(frozen=True)
class _Unconfirmed:
    """Groups that didn't respond, and that no other node was heard to reach.

    :param since: when the first connection failed, in monotonic seconds.
    :param at: when they had not responded, in monotonic seconds.
    """

    groups: frozenset[LinkGroup]
    since: float
    at: float


@dataclass(eq=False)
class Examiner:
    """Probes replicas of all groups, and asks other nodes about the rest."""

    state: LinkState
    prober: LinkProber
    witnesses: Witnesses
    contacts: Contacts
    _settled: asyncio.Event
    _earliest: float = 0
    _cooldown: float = FIRST_COOLDOWN_SECONDS
    _unconfirmed: _Unconfirmed | None = None

    @property
    def settled(self) -> bool:
        """Whether no examination is in progress."""
        return self._settled.is_set()

    def begin(self) -> bool:
        """Begin an examination, unless one is in progress or ended just now.

        :returns: whether the caller is to run it.
        """
        if not self.settled or self.state.clock.monotonic() < self._earliest:
            return False
        self._settled.clear()
        return True

    async def wait(self) -> None:
        """Wait for the examination in progress, if there is one."""
        if self.settled:
            return
        try:
            async with asyncio.timeout(SETTLE_SECONDS):
                await self._settled.wait()
        except TimeoutError:
            return

    async def run(self, since: float) -> None:
        """Find out which groups this node doesn't reach and others do.

        :param since: when the first connection failed, in monotonic seconds.
        """
        try:
            results = await self._probe_groups()
            unreached = frozenset(
                group
                for group, result in results.items()
                if result is ProbeResult.UNREACHED
            )
            fresh = unreached - self.state.lost.groups
            await self._confirm(fresh, since)
            if ProbeResult.UNKNOWN not in results.values():
                now = self.state.clock.monotonic()
                self._earliest = now + self._cooldown
        finally:
            self._settled.set()
            self.state.announce()

    def record_reply(self, name: str, reached: frozenset[LinkGroup]) -> None:
        """Conclude that groups are lost from the late reply of a node.

        :param name: name of the node.
        """
        last = self._unconfirmed
        if last is None:
            return
        lost = {
            group: name
            for group in reached & last.groups
            if not self.contacts.was_reached(
                self.state.list_group(group), last.at
            )
        }
        if lost:
            self._unconfirmed = replace(last, groups=last.groups - lost.keys())
            self._cooldown = FIRST_COOLDOWN_SECONDS
            self.state.lose(lost, last.since)
            self.state.announce()

    async def _confirm(
        self, unreached: frozenset[LinkGroup], since: float
    ) -> None:
        """Ask other nodes about groups that didn't respond, and conclude."""
        probed = self.state.clock.monotonic()
        found = await self.witnesses.ask(unreached) if unreached else {}
        lost = {group: found[group] for group in unreached & found.keys()}
        self._unconfirmed = _Unconfirmed(unreached - lost.keys(), since, probed)
        self.state.log.record(
            catalogue.LINKS_EXAMINED,
            unreached=sorted(unreached),
            lost=sorted(lost),
            seconds=round(self.state.clock.monotonic() - since, _DIGITS),
        )
        if lost:
            self._cooldown = FIRST_COOLDOWN_SECONDS
            self.state.lose(lost, since)
        else:
            self._cooldown = min(MAX_COOLDOWN_SECONDS, 2 * self._cooldown)

    async def _probe_groups(self) -> dict[LinkGroup, ProbeResult]:
        """Probe groups, those with failures first."""
        listed = group_replicas(self.state.replicas.replicas.values())
        now = self.state.clock.monotonic()
        failing = self.contacts.list_failing(listed, now)
        ordered = dict.fromkeys([*failing, *listed])
        groups = {group: listed[group] for group in islice(ordered, MAX_GROUPS)}
        results = await asyncio.gather(
            *(self.prober.probe(group, groups[group]) for group in groups)
        )
        return dict(zip(groups, results, strict=True))


def make_examiner(
    state: LinkState,
    prober: LinkProber,
    witnesses: Witnesses,
    contacts: Contacts,
) -> Examiner:
    """Make an examiner without an examination in progress."""
    settled = asyncio.Event()
    settled.set()
    examiner = Examiner(state, prober, witnesses, contacts, settled)
    witnesses.handle_reply = examiner.record_reply
    return examiner
