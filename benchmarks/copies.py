"""Writes a copy of a deployment's file with some of its figures changed.

A decision that was tuned for one deployment shows on copies of it: other
answers, links, mixes and accelerators.

``python benchmarks/copies.py FILE COPY --scale pipe_mbps=0.25 --swap l4=v100``
"""

import argparse
import re
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

_Value = TypeVar('_Value')

_HOLDER = '\0'


def scale(text: str, name: str, factor: float) -> str:
    """Multiply all numbers that stand behind a name.

    :raises ValueError: if there are none.
    """
    pattern = re.compile(rf'(\b{re.escape(name)} = )(-?\d+(?:\.\d+)?)')
    changed, count = pattern.subn(
        lambda found: f'{found[1]}{_multiply(found[2], factor)}', text
    )
    if not count:
        raise ValueError(f'no number is named {name}')
    return changed


def swap(text: str, one: str, other: str) -> str:
    """Exchange two names wherever they stand in quotes.

    :raises ValueError: if one of them doesn't.
    """
    quoted = [f'"{name}"' for name in (one, other)]
    for name in quoted:
        if name not in text:
            raise ValueError(f'nothing is named {name}')
    first, second = quoted
    held = text.replace(first, _HOLDER).replace(second, first)
    return held.replace(_HOLDER, second)


def _multiply(number: str, factor: float) -> str:
    """Multiply a number; a whole one stays whole."""
    product = float(number) * factor
    return f'{product:.6g}' if '.' in number else str(round(product))


def _read_pair(
    read: Callable[[str], _Value],
) -> Callable[[str], tuple[str, _Value]]:
    def parse(text: str) -> tuple[str, _Value]:
        name, _, found = text.partition('=')
        return name, read(found)

    return parse


def main() -> None:
    """Write the copy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('file', type=Path)
    parser.add_argument('copy', type=Path)
    parser.add_argument(
        '--scale', type=_read_pair(float), action='append', default=[]
    )
    parser.add_argument(
        '--swap', type=_read_pair(str), action='append', default=[]
    )
    options = parser.parse_args()
    text = options.file.read_text()
    for name, factor in options.scale:
        text = scale(text, name, factor)
    for one, other in options.swap:
        text = swap(text, one, other)
    options.copy.write_text(text)


if __name__ == '__main__':
    main()
