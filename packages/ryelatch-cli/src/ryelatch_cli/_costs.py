"""The command ``ryelatch costs``: resource usage of the nodes of a fleet."""

import sys
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from ryelatch_cli._context import Context
from ryelatch_cli._explain import read_texts
from ryelatch_cli._output import CommandError, ExitCode
from ryelatch_core.admission import PlaceOutcome, sum_outcomes
from ryelatch_core.events import FleetUsage, read_lines, sum_usage

_CELL = max(len(outcome) for outcome in PlaceOutcome)
"""Width of a column of outcomes."""


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
        """Print a table with the total of the fleet and the mean per process.

        Where places were asked for, a table by rank of priority follows.

        :raises CommandError: if no log line reports resource usage.
        """
        usage = sum_usage(read_lines(read_texts(self.files)))
        if not usage.incarnations:
            raise CommandError(
                'no line reports resource usage', ExitCode.REFUSED
            )
        sys.stdout.writelines(f'{row}\n' for row in _render(usage))
        sys.stdout.writelines(
            f'{row}\n' for row in _render_places(usage.counts)
        )


def _render(usage: FleetUsage) -> Iterator[str]:
    yield f'{usage.incarnations} processes'
    yield f'{"fleet":>12}  {"a process":>10}  what'
    for name, count in sorted(usage.counts.items()):
        yield f'{count:>12}  {count / usage.incarnations:>10.2f}  {name}'
    for activity, total in sorted(usage.seconds.items()):
        mean = total / usage.incarnations
        yield f'{total:>12.3f}  {mean:>10.4f}  seconds/{activity}'


def _render_places(counts: Mapping[str, int]) -> Iterator[str]:
    """Render what became of the requests for places, a row for each rank."""
    ranks = sum_outcomes(counts)
    if not ranks:
        return
    yield ''
    yield 'places by rank of priority, 0 first'
    yield _align('rank', *PlaceOutcome)
    for rank, sums in ranks.items():
        yield _align(rank, *(sums[outcome] for outcome in PlaceOutcome))


def _align(rank: object, *cells: object) -> str:
    return '  '.join((f'{rank:>6}', *(f'{cell:>{_CELL}}' for cell in cells)))
