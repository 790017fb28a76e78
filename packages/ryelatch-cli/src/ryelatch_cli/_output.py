"""Output and exit codes of the command line."""

import enum
import json
import sys
from collections.abc import Mapping, Sequence
from typing import Any


class Output(enum.StrEnum):
    """Format in which results are printed."""

    TABLE = 'table'
    JSON = 'json'


class ExitCode(enum.IntEnum):
    """Exit codes of the commands."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    STORE_UNAVAILABLE = 3
    NOT_EVERYWHERE = 4


class CommandError(Exception):
    """Raised when a command fails.

    :param code: exit code of the process.
    """

    def __init__(self, message: str, code: ExitCode) -> None:
        super().__init__(message)
        self.code = code


def print_rows(rows: Sequence[Mapping[str, Any]], output: Output) -> None:
    """Print rows, which all have the same fields, as a table or as JSON."""
    if output is Output.JSON:
        print_text(json.dumps(list(rows), indent=2))
        return
    if not rows:
        return
    names = list(rows[0])
    table = [names, *([str(row[name]) for name in names] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    for line in table:
        cells = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        print_text('  '.join(cells).rstrip())


def print_text(text: str) -> None:
    """Print a line to standard output."""
    sys.stdout.write(f'{text}\n')
