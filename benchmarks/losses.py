"""Tells from nodes' lines why requests were late, refused or lost, by cause.

Reads the JSON lines of all nodes from files or standard input; what stands
before the brace of a line is left out. Prints a table by cause, and one by
seconds for the causes that cost most.

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

LATE_SHARE = 0.75
"""Share of its worth that a late answer loses."""

WINDOW_SECONDS = 2.0
"""Seconds that a row of the second table covers."""

MOST_CAUSES = 6
"""Causes that the second table has a column for."""

_DENIED = frozenset(('no such route', 'unknown key'))


@dataclass(slots=True)
class Attempt:
    """What the lines say of one attempt of a client.

    :param began: seconds, as the lines count them.
    :param troubles: names of what went wrong, in order.
    """

    began: float
    streaming: bool = False
    first: float | None = None
    seconds: float = 0
    pause: float = 0
    refused: str = ''
    ended: str = ''
    troubles: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Loss:
    """An attempt that was not served in time."""

    began: float
    cause: str
    share: float


def read_lines(texts: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Read the JSON objects of log lines, and skip all else."""
    for text in texts:
        brace = text.find('{"time"')
        if brace >= 0:
            with contextlib.suppress(json.JSONDecodeError):
                yield json.loads(text[brace:])


def gather(lines: Iterable[Mapping[str, Any]]) -> list[Attempt]:
    """Put together what the lines say of each attempt, by its identity."""
    attempts: dict[tuple[str, str], Attempt] = {}
    for line in lines:
        if not line.get('request'):
            continue
        key = line['process'], line['request']
        attempt = attempts.setdefault(key, Attempt(line['time']))
        _take(attempt, line)
    return list(attempts.values())


def _take(attempt: Attempt, line: Mapping[str, Any]) -> None:
    match line['name']:
        case 'exchange-sent':
            attempt.streaming |= 'path' in line
        case 'exchange-refused':
            attempt.refused = line['reason']
        case 'exchange-failed':
            attempt.troubles.append(_name_failure(line))
        case 'stream-stalled' | 'stream-moved' as name:
            attempt.troubles.append(name.replace('-', ' '))
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
    """Name the cause of each attempt that was not served in time.

    :param objective: seconds to the first event or the whole answer.
    :param pause: seconds between events from which a stream is late.
    """
    for attempt in attempts:
        loss = _judge(attempt, objective, pause)
        if loss is not None:
            yield loss


def _judge(attempt: Attempt, objective: float, pause: float) -> Loss | None:
    if attempt.refused and attempt.refused not in _DENIED:
        return Loss(attempt.began, f'refused: {attempt.refused}', 1)
    if attempt.refused or not attempt.ended:
        return None
    cause = attempt.troubles[0] if attempt.troubles else 'crowded or slow path'
    if attempt.ended != 'ended':
        return Loss(attempt.began, f'{attempt.ended}: {cause}', 1)
    took = attempt.first if attempt.streaming else attempt.seconds
    stood = 'stream stalled' in attempt.troubles or attempt.pause > pause
    if stood or (took or 0) > objective:
        return Loss(attempt.began, f'late: {cause}', LATE_SHARE)
    return None


def _print_causes(losses: list[Loss], asked: int) -> list[str]:
    shares: Counter[str] = Counter()
    counts = Counter(loss.cause for loss in losses)
    for loss in losses:
        shares[loss.cause] += loss.share
    print(f'{asked} attempts, {len(losses)} not served in time')
    for cause, share in shares.most_common():
        print(f'{share / asked:8.4f} {counts[cause]:6d}  {cause}')
    return [cause for cause, _ in shares.most_common(MOST_CAUSES)]


def _print_windows(
    losses: list[Loss],
    attempts: list[Attempt],
    causes: list[str],
) -> None:
    began = min(attempt.began for attempt in attempts)
    asked = Counter(
        int((attempt.began - began) / WINDOW_SECONDS) for attempt in attempts
    )
    cells: dict[int, Counter[str]] = defaultdict(Counter)
    for loss in losses:
        cells[int((loss.began - began) / WINDOW_SECONDS)][loss.cause] += 1
    print('second  asked ', ' | '.join(causes))
    for window in sorted(asked):
        numbers = [f'{cells[window][cause]:6d}' for cause in causes]
        seconds = int(window * WINDOW_SECONDS)
        print(f'{seconds:6d} {asked[window]:6d} ', *numbers)


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--objective', type=float, default=0.5)
    parser.add_argument('--pause', type=float, default=0.25)
    parser.add_argument('lines', nargs='*')
    options = parser.parse_args()
    with fileinput.input(options.lines) as texts:
        attempts = gather(read_lines(texts))
    served = [one for one in attempts if one.refused not in _DENIED]
    losses = list(find_losses(served, options.objective, options.pause))
    if not served:
        print('no attempt in these lines')
        return
    causes = _print_causes(losses, len(served))
    _print_windows(losses, served, list(itertools.islice(causes, MOST_CAUSES)))


if __name__ == '__main__':
    main()
