"""Lists of several pages."""

import contextlib
from collections.abc import AsyncIterator
from typing import Any

from fake_clock import FakeClock
from fleet.running import serve_app
from ryelatch_core.events import LineLog
from ryelatch_node.ports import Address
from ryelatch_platform._listing import list_all
from ryelatch_platform._store import StoreClient
from standins.objects import ObjectStore

_LOG = LineLog('node-a', FakeClock(), len)


@contextlib.asynccontextmanager
async def _connect(store: ObjectStore, **options: Any) -> AsyncIterator[Any]:
    """Connect a client to a store.

    :param options: of the store's application.
    """
    runner, port = await serve_app(store.make_app(**options))
    client = StoreClient(
        Address('127.0.0.1', port), _LOG, FakeClock().monotonic
    )
    await client.start()
    try:
        yield client
    finally:
        await client.stop()
        await runner.cleanup()


async def test_change_between_two_pages_is_not_missed() -> None:
    """A replica that leaves while the list is read stays in use for good."""
    store = ObjectStore()
    names = [f'i-{number:02}' for number in range(30)]
    for name in names:
        store.put('servers', name, {})

    def present(kind: str, stored: dict[str, Any]) -> dict[str, Any]:
        if stored['metadata']['name'] == names[-1] and store.get(
            kind, names[0]
        ):
            store.drop(kind, names[0])
        return stored

    async with _connect(store, present=present) as client:
        listing = (
            await list_all(client, _LOG, 'servers', stale=False)
        ).unwrap()
        listed = {found.metadata.name for found in listing.objects}
        assert listed == set(names)
        changes = (
            (await client.watch('servers', listing.at, 0)).unwrap().content
        )
        assert [event.deleted for event in changes.events] == [True]
