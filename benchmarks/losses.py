"""Finds the causes of late, refused and lost requests in the logs of nodes.

Reads the JSON log lines of all nodes from files or standard input, and ignores
any prefix before the JSON object. Prints a table of all causes, and one over
time of the causes with the largest loss.

``python benchmarks/losses.py --objective 0.5 LINES...``
"""

import argparse
import contextlib
import fileinput
import itertools
import json
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

LATE_LOSS_FRACTION = 0.75
"""Fraction of the benefit of an answer that is lost if it is late."""

INTERVAL_SECONDS = 2.0
"""Seconds that a row of the second table covers."""

MAX_CAUSES = 6
"""Number of causes that have a column in the second table."""

_DENIED = frozenset(('no such route', 'unknown key'))


@dataclass(slots=True)
class Attempt:
    """One attempt of a client, as the log lines describe it.

    :param started: time of its first log line, in seconds.
    :param streaming: whether it was sent to a model.
    :param first: seconds to the first event of a stream.
    :param seconds: total duration.
    :param pause: longest time between two events, in seconds.
    :param refused: reason of the refusal; empty if it was not refused.
    :param ended: how it finished: ended, broken or left; empty if unknown.
    :param failures: names of what went wrong, in order.
    """

    started: float
    streaming: bool = False
    first: float | None = None
    seconds: float = 0
    pause: float = 0
    refused: str = ''
    ended: str = ''
    failures: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Loss:
    """An attempt that was not served in time.

    :param fraction: fraction of its benefit that is lost.
    """

    started: float
    cause: str
    fraction: float


def read_lines(texts: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Read the JSON objects of log lines, and skip any other text."""
    for text in texts:
        brace = text.find('{"time"')
        if brace >= 0:
            with contextlib.suppress(json.JSONDecodeError):
                yield json.loads(text[brace:])


def collect_attempts(lines: Iterable[Mapping[str, Any]]) -> list[Attempt]:
    """Combine the log lines of each attempt, by process and request."""
    attempts: dict[tuple[str, str], Attempt] = {}
    for line in lines:
        if not line.get('request'):
            continue
        key = line['process'], line['request']
        attempt = attempts.setdefault(key, Attempt(line['time']))
        _apply(attempt, line)
    return list(attempts.values())


def _apply(attempt: Attempt, line: Mapping[str, Any]) -> None:
    match line['name']:
        case 'exchange-sent':
            attempt.streaming |= 'path' in line
        case 'exchange-refused':
            attempt.refused = line['reason']
        case 'exchange-failed':
            attempt.failures.append(_name_failure(line))
        case 'stream-stalled' | 'stream-moved' as name:
            attempt.failures.append(name.replace('-', ' '))
        case 'exchange-ended' | 'exchange-broken' | 'exchange-left' as name:
            attempt.ended = name.removeprefix('exchange-')
            attempt.first = line.get('first')
            attempt.seconds = line['seconds']
            attempt.pause = line.get('pause', 0)


def _name_failure(line: Mapping[str, Any]) -> str:
    if line['outcome'] == 'not run':
        waited = line.get('waited', 0) > 1
        return 'path stood still' if waited else 'replica full'
    if line['outcome'] == 'failed':
        return 'replica failed'
    if line.get('reason') in {'silent', 'no path'}:
        reason = line['reason']
        return f'run cut off, {reason}'
    return 'replica lost'


def find_losses(
    attempts: Iterable[Attempt],
    objective: float,
    pause: float,
) -> Iterator[Loss]:
    """Find the attempts that were not served in time, and their causes.

    :param objective: seconds within which the first event of a stream, or the
        complete response of another request, is in time.
    :param pause: longest time between two events, in seconds, with which a
        stream is in time.
    """
    for attempt in attempts:
        loss = _evaluate(attempt, objective, pause)
        if loss is not None:
            yield loss


def _evaluate(attempt: Attempt, objective: float, pause: float) -> Loss | None:
    if attempt.refused and attempt.refused not in _DENIED:
        return Loss(attempt.started, f'refused: {attempt.refused}', 1)
    if attempt.refused or not attempt.ended:
        return None
    cause = attempt.failures[0] if attempt.failures else 'crowded or slow path'
    if attempt.ended != 'ended':
        return Loss(attempt.started, f'{attempt.ended}: {cause}', 1)
    latency = attempt.first if attempt.streaming else attempt.seconds
    stalled = 'stream stalled' in attempt.failures or attempt.pause > pause
    if stalled or (latency or 0) > objective:
        return Loss(attempt.started, f'late: {cause}', LATE_LOSS_FRACTION)
    return None


def _print_causes(losses: list[Loss], attempts: int) -> list[str]:
    lost: Counter[str] = Counter()
    counts = Counter(loss.cause for loss in losses)
    for loss in losses:
        lost[loss.cause] += loss.fraction
    print(f'{attempts} attempts, {len(losses)} not served in time')
    for cause, total in lost.most_common():
        print(f'{total / attempts:8.4f} {counts[cause]:6d}  {cause}')
    return [cause for cause, _ in lost.most_common(MAX_CAUSES)]


def _print_intervals(
    losses: list[Loss],
    attempts: list[Attempt],
    causes: list[str],
) -> None:
    start = min(attempt.started for attempt in attempts)
    totals = Counter(
        int((attempt.started - start) / INTERVAL_SECONDS)
        for attempt in attempts
    )
    counts: dict[int, Counter[str]] = defaultdict(Counter)
    for loss in losses:
        counts[int((loss.started - start) / INTERVAL_SECONDS)][loss.cause] += 1
    print('second  asked ', ' | '.join(causes))
    for interval in sorted(totals):
        cells = [f'{counts[interval][cause]:6d}' for cause in causes]
        seconds = int(interval * INTERVAL_SECONDS)
        print(f'{seconds:6d} {totals[interval]:6d} ', *cells)


def main() -> None:
    """Print the tables of causes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--objective', type=float, default=0.5)
    parser.add_argument('--pause', type=float, default=0.25)
    parser.add_argument('lines', nargs='*')
    options = parser.parse_args()
    with fileinput.input(options.lines) as texts:
        attempts = collect_attempts(read_lines(texts))
    allowed = [
        attempt for attempt in attempts if attempt.refused not in _DENIED
    ]
    losses = list(find_losses(allowed, options.objective, options.pause))
    if not allowed:
        print('no attempt of a client in the lines that were read')
        return
    causes = _print_causes(losses, len(allowed))
    _print_intervals(
        losses, allowed, list(itertools.islice(causes, MAX_CAUSES))
    )


if __name__ == '__main__':
    main()
