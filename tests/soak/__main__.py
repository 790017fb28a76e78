"""Runs seeds and prints broken promises: ``python -m soak --seeds 50``."""

import argparse
import asyncio
import random
import sys
from pathlib import Path

from soak.killing import DEFAULT_PROCESSES
from soak.play import Outcome, run_seed


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='soak')
    parser.add_argument(
        '--first', type=int, help='the first seed; random by default'
    )
    parser.add_argument('--seeds', type=int, default=10)
    parser.add_argument('--seconds', type=float, default=10)
    parser.add_argument('--folder', type=Path, default=Path('build/soak'))
    parser.add_argument(
        '--crashing',
        action='store_true',
        help='with a request that crashes replicas',
    )
    parser.add_argument(
        '--crashing-part',
        action='store_true',
        help='with different requests that crash replicas by a common part',
    )
    parser.add_argument(
        '--ending',
        action='store_true',
        help='with replicas that end in various ways under such requests, '
        'also before their answers begin',
    )
    parser.add_argument(
        '--asking',
        action='store_true',
        help='with replicas that announce rate limits and ask for backoff',
    )
    parser.add_argument(
        '--cutting',
        action='store_true',
        help='with nodes that are cut off from all replicas',
    )
    parser.add_argument(
        '--pausing',
        action='store_true',
        help='with replicas that stand still beside planned work only',
    )
    parser.add_argument(
        '--releasing',
        action='store_true',
        help='with planned work of all kinds in a larger fleet, beside '
        'replicas that stand still',
    )
    parser.add_argument(
        '--leaving',
        action='store_true',
        help='with clients that leave early, and nodes that stand still',
    )
    parser.add_argument(
        '--killing',
        type=int,
        nargs='?',
        const=DEFAULT_PROCESSES,
        default=0,
        metavar='PROCESSES',
        help='with replicas in processes of their own, which are killed '
        'beside planned work',
    )
    parser.add_argument(
        '--crowding',
        action='store_true',
        help="with crowds of clients that don't behave",
    )
    return parser.parse_args()


def _describe(outcome: Outcome) -> str:
    """Describe how near the repeats came to what is allowed."""
    return ', '.join(
        f'{repeats.service} {repeats.count} of {repeats.allowed:.1f}'
        for repeats in outcome.repeats
    )


def main() -> int:
    """Run the seeds given on the command line."""
    options = _parse()
    first = options.first or random.randrange(1_000_000)
    failed = 0
    for seed in range(first, first + options.seeds):
        folder = options.folder / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        outcome = asyncio.run(
            run_seed(
                seed,
                options.seconds,
                folder,
                crashing=options.crashing,
                crashing_part=options.crashing_part,
                ending=options.ending,
                asking=options.asking,
                cutting=options.cutting,
                pausing=options.pausing,
                releasing=options.releasing,
                leaving=options.leaving,
                processes=options.killing,
                crowding=options.crowding,
            )
        )
        failed += bool(outcome.violations)
        sys.stdout.write(
            f'seed {seed}: {len(outcome.faults)} faults, '
            f'statuses {dict(outcome.statuses)}, '
            f'repeats {_describe(outcome)}, '
            f'{len(outcome.violations)} violations\n'
        )
        for violation in outcome.violations:
            sys.stdout.write(f'  {violation}\n')
        sys.stdout.flush()
    return min(failed, 1)


if __name__ == '__main__':
    sys.exit(main())
