"""The service ``store`` of a node."""

from collections.abc import Callable

from ryelatch_core.events import Timeline, catalogue
from ryelatch_core.kernel import App, Service
from ryelatch_core.settings import Startup
from ryelatch_node.connections import make_surplus_hook
from ryelatch_node.store._client import Store


def setup(app: App) -> None:
    """Add the service ``store``."""
    startup = app.find('startup', Startup)
    timeline = app.find('timeline', Timeline)
    store = Store(
        startup.platform,
        _make_outage_recorder(timeline),
        make_surplus_hook(timeline),
    )
    app.add(Service('store', store, ('timeline',), stop=store.close))


def _make_outage_recorder(timeline: Timeline) -> Callable[..., None]:
    """Make a function that records the start and end of outages."""
    available = True

    def record_call(*, answered: bool) -> None:
        nonlocal available
        if answered != available:
            kind = catalogue.STORE_BACK if answered else catalogue.STORE_OUT
            timeline.record(kind)
        available = answered

    return record_call
