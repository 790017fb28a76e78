"""Draws the plots of the docs from the results of benchmarks."""

from pathlib import Path

import matplotlib as mpl
from common import load_result

mpl.use('Agg')
from matplotlib import pyplot as plt

_PLOTS = Path(__file__).parent.parent / 'docs' / 'plots'


def draw_bars(name: str, title: str, bars: dict[str, float]) -> None:
    """Draw a horizontal bar for each label."""
    figure, axes = plt.subplots(figsize=(7, 0.5 + 0.45 * len(bars)))
    axes.barh(list(bars), list(bars.values()))
    axes.invert_yaxis()
    axes.set_title(title)
    figure.tight_layout()
    figure.savefig(_PLOTS / f'{name}.png', dpi=90, metadata={'Software': None})
    plt.close(figure)


def draw_lines(
    name: str,
    title: str,
    seconds: list[float],
    lines: dict[str, list[float]],
) -> None:
    """Draw fractions, from 0 to 1, over time."""
    figure, axes = plt.subplots(figsize=(7, 3))
    for label, fractions in lines.items():
        axes.step(seconds, fractions, where='post', label=label)
    axes.set_ylim(0, 1.05)
    axes.set_xlabel('seconds')
    axes.set_title(title)
    axes.legend()
    figure.tight_layout()
    figure.savefig(_PLOTS / f'{name}.png', dpi=90, metadata={'Software': None})
    plt.close(figure)


def main() -> None:
    """Draw all plots."""
    _PLOTS.mkdir(exist_ok=True)
    draw_bars(
        'recovery',
        'Gap at a failure, 95th percentile, seconds',
        {row['failure']: row['p95'] for row in load_result('recovery')['rows']},
    )
    draw_bars(
        'shares',
        'First token of small accounts, 99th percentile, times that without '
        'surge',
        {
            row['scenario']: row['first_p99_ratio']
            for row in load_result('shares')['rows']
            if row['first_p99_ratio'] < 10
        },
    )
    deadly = load_result('deadly')
    draw_lines(
        'deadly',
        'Share served in time as two requests end replicas',
        deadly['seconds'],
        {label: deadly[label] for label in ('before', 'after')},
    )


if __name__ == '__main__':
    main()
