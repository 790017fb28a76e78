"""The command ``ryelatch explain``: the course of a request in log lines."""

import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from ryelatch_cli._context import Context
from ryelatch_cli._output import CommandError, ExitCode
from ryelatch_core.events import (
    Line,
    count_reasons,
    explain_request,
    read_lines,
)

_OMITTED_FIELDS = frozenset(
    ('time', 'monotonic', 'process', 'event', 'name', 'level', 'request')
)


@cappa.command(
    name='explain', help='Explain from log lines what happened to a request.'
)
@dataclass(frozen=True)
class Explain:
    """Arguments of ``ryelatch explain``."""

    request: Annotated[
        str,
        cappa.Arg(help='id of the request; "all" counts reasons instead'),
    ]
    files: Annotated[
        list[Path],
        cappa.Arg(help='files of log lines; standard input if none'),
    ] = field(default_factory=list)

    async def run(self, context: Context) -> None:
        """Print the log lines that explain the request, and the likely cause.

        With ``all`` in place of a request, print how often each reason
        occurs.

        :raises CommandError: if no line names the request.
        """
        lines = list(read_lines(read_texts(self.files)))
        if self.request == 'all':
            for reason, count in count_reasons(lines).items():
                sys.stdout.write(f'{count:6d}  {reason}\n')
            return
        explanation = explain_request(lines, self.request)
        if explanation is None:
            raise CommandError(
                f'no line of {len(lines)} names request {self.request}',
                ExitCode.REFUSED,
            )
        merged = sorted(
            (*explanation.state_changes, *explanation.lines),
            key=lambda line: line.time,
        )
        start = explanation.lines[0].time
        for line in merged:
            sys.stdout.write(_render(line, start))
        sys.stdout.write(f'likely cause: {explanation.cause}\n')


def read_texts(files: list[Path]) -> Iterator[str]:
    """Read the lines of files, or of standard input if there are none.

    :raises CommandError: if a file can't be read.
    """
    if not files:
        yield from sys.stdin
    for path in files:
        try:
            with path.open(errors='replace') as lines:
                yield from lines
        except OSError as error:
            raise CommandError(str(error), ExitCode.USAGE) from error


def _render(line: Line, start: float) -> str:
    detail = ' '.join(
        f'{name}={entry}'
        for name, entry in line.detail.items()
        if name not in _OMITTED_FIELDS
    )
    elapsed = line.time - start
    return f'{elapsed:8.3f}  {line.process}  {line.name}  {detail}\n'
