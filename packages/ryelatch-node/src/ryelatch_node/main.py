"""Entry point of the program ``ryelatch-node``."""

import asyncio
import gc
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import uvloop
from absl import flags, logging

from ryelatch_core.events import HybridClock, Timeline, catalogue
from ryelatch_core.kernel import App, Service
from ryelatch_core.settings import SettingsError, Startup, check_text
from ryelatch_node import (
    admission,
    answers,
    config,
    control,
    front,
    peers,
    non_model,
    store,
    upstreams,
)

_EXIT_USAGE = 2
_SETUPS = (
    store.setup,
    config.setup,
    upstreams.setup,
    answers.setup,
    admission.setup,
    peers.setup,
    control.setup,
    non_model.setup,
    front.setup,
)


@cappa.command(
    name='ryelatch-node',
    help='Run one node of the ryelatch router.',
)
@dataclass(frozen=True)
class NodeCommand:
    """Arguments of ``ryelatch-node``."""

    startup: Annotated[
        Path, cappa.Arg(help='YAML file with the start-up settings')
    ]


def read_startup(path: Path) -> Startup:
    """Read and check the start-up settings.

    :raises OSError: if the file can't be read.
    :raises SettingsError: with every mistake in the file.
    """
    checked = check_text(path.read_text(), str(path), Startup)
    if checked.is_err():
        raise checked.unwrap_err()
    return checked.unwrap()


def build_app(startup: Startup) -> App:
    """Make the application with all services of a node."""
    app = App()
    timeline = Timeline(startup.name, HybridClock(app.clock))
    app.add(Service('startup', startup))
    app.add(Service('timeline', timeline))
    app.load(_SETUPS)
    return app


async def serve(app: App) -> None:
    """Serve until a signal, then finish all open requests and stop."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        # A second signal must not shorten the shutdown: a supervisor that
        # signals again would cut off answers that need a few seconds more.
        loop.add_signal_handler(signal_number, stopping.set)
    await app.start()
    startup = app.find('startup', Startup)
    timeline = app.find('timeline', Timeline)
    http_server = app.find('front', front.HttpServer)
    timeline.record(
        catalogue.NODE_STARTED,
        zone=startup.zone,
        port=http_server.port,
        peers=app.find('peers', peers.Peers).port,
    )
    # Objects created at startup live until the process stops. Frozen, they
    # are skipped by later collections, which would otherwise stall the event
    # loop for milliseconds.
    gc.collect()
    gc.freeze()
    await stopping.wait()
    app.find('peers', peers.Peers).announce_drain()
    await http_server.drain()
    await app.stop()
    timeline.record(catalogue.NODE_STOPPED)


def run() -> None:
    """Parse the arguments and serve."""
    command = cappa.parse(NodeCommand)
    flags.FLAGS.mark_as_parsed()  # cappa parses; absl is for logging only
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    try:
        startup = read_startup(command.startup)
    except (OSError, SettingsError) as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(_EXIT_USAGE)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(build_app(startup)))
