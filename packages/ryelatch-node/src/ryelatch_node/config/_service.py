"""The service ``settings``: holds the settings and applies revisions."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from ryelatch_core.events import Timeline, catalogue
from ryelatch_core.kernel import App, Service, cancel_task
from ryelatch_core.settings import (
    ROOT_KEY,
    AccountDirectory,
    Bundle,
    Index,
    Settings,
    blob_key,
    build_directory,
    join_bundle,
    should_apply,
)
from ryelatch_node.store import Entry, Store, StoreError

WATCH_SECONDS = 3.0
RETRY_SECONDS = 0.5
POLL_INTERVAL_SECONDS = 15.0


@dataclass(frozen=True)
class SettingsApplied:
    """Emitted when a revision has come into force on this node.

    :param source: ``store``, or the name of the peer that sent it.
    """

    bundle: Bundle
    source: str


class SettingsHolder:
    """The settings in force.

    :param previous: the revision in force before the current one.
    :param should_watch: whether this node is one of those in its
        availability zone that watch the store; the others receive revisions
        from peers.
    :param confirmed: whether the store has been read since the start.
    """

    def __init__(self, app: App, timeline: Timeline) -> None:
        self.bundle = Bundle(Index(0, {}))
        self.previous = self.bundle
        self.settings = Settings()
        self.directory: AccountDirectory = build_directory(self.settings)
        self.should_watch: Callable[[], bool] = lambda: True
        self.confirmed = False
        self._app = app
        self._timeline = timeline
        self._version = ''
        self._task: asyncio.Task[None] | None = None

    @property
    def revision(self) -> int:
        """Number of the revision in force; 0 if there is none yet."""
        return self.bundle.index.revision

    async def start(self) -> None:
        """Read the store once, then watch or poll it."""
        await self._read_root()
        self._task = asyncio.create_task(self._follow())

    async def stop(self) -> None:
        """Stop watching and polling."""
        await cancel_task(self._task)

    def apply(self, bundle: Bundle, source: str) -> bool:
        """Put a newer revision in force, if it is complete and valid.

        :param source: ``store``, or the name of the peer that sent it.
        :returns: whether it is in force now.
        """
        revision = bundle.index.revision
        if not should_apply(self.revision, revision):
            if revision < self.revision:
                self._timeline.record(
                    catalogue.SETTINGS_IGNORED, revision=revision, source=source
                )
            return False
        joined = join_bundle(bundle)
        if joined.is_err():
            self._timeline.record(
                catalogue.SETTINGS_REFUSED, revision=revision, source=source
            )
            return False
        settings = joined.unwrap()
        self.directory = build_directory(settings)
        self.settings = settings
        self.previous = self.bundle
        self.bundle = bundle
        self._timeline.record(
            catalogue.SETTINGS_APPLIED, revision=revision, source=source
        )
        if source != 'store' and not self.confirmed:
            self._timeline.record(
                catalogue.SETTINGS_UNCONFIRMED, revision=revision
            )
        self._app.hub.emit(SettingsApplied(bundle, source))
        return True

    async def _follow(self) -> None:
        store = self._app.find('store', Store)
        while True:
            if not self.should_watch():
                await self._wait_for_poll()
                await self._read_root()
                continue
            version = self._version or '0'
            found = await store.watch(ROOT_KEY, version, WATCH_SECONDS)
            if found.is_ok():
                await self._apply_root(found.unwrap())
            elif found.unwrap_err() is not StoreError.UNCHANGED:
                await asyncio.sleep(RETRY_SECONDS)

    async def _wait_for_poll(self) -> None:
        """Wait for the next poll, or until this node has to watch."""
        loop = asyncio.get_running_loop()
        due = loop.time() + POLL_INTERVAL_SECONDS
        while loop.time() < due and not self.should_watch():
            await asyncio.sleep(RETRY_SECONDS)

    async def _read_root(self) -> None:
        found = await self._app.find('store', Store).get(ROOT_KEY)
        if found.is_ok():
            await self._apply_root(found.unwrap())

    async def _apply_root(self, entry: Entry) -> None:
        try:
            index = msgspec.msgpack.decode(entry.body, type=Index)
        except msgspec.MsgspecError:
            self._timeline.record(catalogue.SETTINGS_REFUSED, source='store')
            await asyncio.sleep(RETRY_SECONDS)
            return
        self.confirmed = True
        if not should_apply(self.revision, index.revision):
            self._version = entry.version
            return
        bundle = await self._fetch_bundle(index)
        if bundle is not None:
            self._version = entry.version
            self.apply(bundle, 'store')

    async def _fetch_bundle(self, index: Index) -> Bundle | None:
        """Fetch the parts that this node lacks, and make the bundle.

        :returns: nothing if a part can't be read.
        """
        store = self._app.find('store', Store)
        blobs: dict[str, bytes] = {}
        for digest in set(index.parts.values()):
            held = self.bundle.blobs.get(digest)
            if held is None:
                found = await store.get(blob_key(digest))
                if found.is_err():
                    return None
                held = found.unwrap().body
            blobs[digest] = held
        return Bundle(index, blobs)


def setup(app: App) -> None:
    """Add the service ``settings``."""
    holder = SettingsHolder(app, app.find('timeline', Timeline))
    app.add(
        Service(
            'settings',
            holder,
            ('store', 'timeline'),
            start=holder.start,
            stop=holder.stop,
        )
    )
