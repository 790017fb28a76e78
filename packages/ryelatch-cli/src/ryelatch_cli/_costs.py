"""The command that adds up what the nodes of a fleet have spent."""

import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from ryelatch_cli._context import Context
from ryelatch_cli._explain import read_texts
from ryelatch_cli._output import CommandError, ExitCode
from ryelatch_core.events import FleetUsage, read_lines, sum_usage


@cappa.command(
    name='costs',
    help='Add up from log lines what nodes spent on calls and work.',
)
@dataclass(frozen=True)
class Costs:
    """Arguments of ``ryelatch costs``."""

    files: Annotated[
        list[Path],
        cappa.Arg(help='files of log lines; standard input if none'),
    ] = field(default_factory=list)

    async def run(self, context: Context) -> None:
        """Print the table: the fleet, and the mean of a process.

        :raises CommandError: if no line tells what was spent.
        """
        found = sum_usage(read_lines(read_texts(self.files)))
        if not found.incarnations:
            raise CommandError('no line tells costs', ExitCode.REFUSED)
        sys.stdout.writelines(f'{row}\n' for row in _render(found))


def _render(found: FleetUsage) -> Iterator[str]:
    yield f'{found.incarnations} processes'
    yield f'{"fleet":>12}  {"a process":>10}  what'
    for name, count in sorted(found.counts.items()):
        yield f'{count:>12}  {count / found.incarnations:>10.2f}  {name}'
    for activity, spent in sorted(found.seconds.items()):
        mean = spent / found.incarnations
        yield f'{spent:>12.3f}  {mean:>10.4f}  seconds/{activity}'
