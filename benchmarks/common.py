"""Helpers of all benchmarks: resource usage, percentiles, tables, results."""

import json
import os
import statistics
import sys
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent / 'tests'))

RESULTS = Path(__file__).parent / 'results'
_TICKS = os.sysconf('SC_CLK_TCK')
_PAGE = os.sysconf('SC_PAGE_SIZE')


@dataclass(frozen=True)
class Usage:
    """The resource usage of a process.

    :param cpu: seconds of processor time since its start.
    :param memory: resident bytes at present.
    :param traffic: bytes read and written since its start.
    """

    cpu: float
    memory: int
    traffic: int


def read_usage(pid: int) -> Usage:
    """Read the resource usage of a process from ``/proc``."""
    folder = Path('/proc') / str(pid)
    fields = (folder / 'stat').read_text().rsplit(')', 1)[1].split()
    pages = int((folder / 'statm').read_text().split()[1])
    io = dict(
        line.split(': ') for line in (folder / 'io').read_text().splitlines()
    )
    return Usage(
        (int(fields[11]) + int(fields[12])) / _TICKS,
        pages * _PAGE,
        int(io['rchar']) + int(io['wchar']),
    )


def find_percentiles(samples: Sequence[float]) -> dict[str, float]:
    """Find the median, 95th and 99th percentile."""
    if len(samples) < 2:
        return {'p50': samples[0], 'p95': samples[0], 'p99': samples[0]}
    cuts = statistics.quantiles(samples, n=100, method='inclusive')
    return {'p50': cuts[49], 'p95': cuts[94], 'p99': cuts[98]}


def print_table(title: str, rows: Iterable[Mapping[str, Any]]) -> None:
    """Print rows that have the same fields as a table."""
    listed = list(rows)
    print(f'\n{title}')
    names = list(listed[0])
    table = [names, *([_show(row[name]) for name in names] for row in listed)]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    for line in table:
        print(
            '  '.join(
                cell.rjust(width)
                for cell, width in zip(line, widths, strict=True)
            )
        )


def save_result(name: str, found: Mapping[str, Any]) -> None:
    """Write a result to its file for the docs, and print it as JSON."""
    RESULTS.mkdir(exist_ok=True)
    text = json.dumps(found, indent=1, sort_keys=True)
    (RESULTS / f'{name}.json').write_text(f'{text}\n')
    print(json.dumps({'benchmark': name, **found}), flush=True)


def load_result(name: str) -> dict[str, Any]:
    """Read the result that a benchmark has written."""
    found: dict[str, Any] = json.loads((RESULTS / f'{name}.json').read_text())
    return found


def _show(cell: Any) -> str:
    return f'{cell:.4g}' if isinstance(cell, float) else str(cell)
