"""The program ``ryelatch-node``."""

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
    """Read and check start-up settings.

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
    """Serve until a signal, then stop without cutting anything off."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        # A second signal must not shorten the stop: an impatient supervisor
        # would cut off answers that a few seconds more would have completed.
        loop.add_signal_handler(number, stopping.set)
    await app.start()
    startup = app.find('startup', Startup)
    timeline = app.find('timeline', Timeline)
    door = app.find('front', front.Front)
    timeline.record(
        catalogue.NODE_STARTED,
        zone=startup.zone,
        port=door.port,
        peers=app.find('peers', peers.Peers).port,
    )
    # What lives since the start lives to the end; collecting it again and
    # again stalls the loop for milliseconds.
    gc.collect()
    gc.freeze()
    await stopping.wait()
    app.find('peers', peers.Peers).announce_drain()
    await door.drain()
    await app.stop()
    timeline.record(catalogue.NODE_STOPPED)


def run() -> None:
    """Parse arguments and serve; the entry point."""
    command = cappa.parse(NodeCommand)
    flags.FLAGS.mark_as_parsed()  # cappa parses; absl only logs
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    try:
        startup = read_startup(command.startup)
    except (OSError, SettingsError) as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(_EXIT_USAGE)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(build_app(startup)))
