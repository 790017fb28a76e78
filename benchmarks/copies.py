"""Writes a copy of a deployment's file with some of its figures changed.

Copies with other answer lengths, links, request mixes and accelerators show
whether a decision that was tuned for one deployment holds for others.

``python benchmarks/copies.py FILE COPY --scale pipe_mbps=0.25 --swap l4=v100``
"""

import argparse
import re
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

_Value = TypeVar('_Value')

_PLACEHOLDER = '\0'


def scale(text: str, name: str, factor: float) -> str:
    """Multiply all numbers that are assigned to a name.

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
    """Exchange two names wherever they occur in quotes.

    :raises ValueError: if one of them does not occur.
    """
    quoted = [f'"{name}"' for name in (one, other)]
    for name in quoted:
        if name not in text:
            raise ValueError(f'nothing is named {name}')
    first, second = quoted
    swapped = text.replace(first, _PLACEHOLDER).replace(second, first)
    return swapped.replace(_PLACEHOLDER, second)


def _multiply(number: str, factor: float) -> str:
    """Multiply a number; an integer stays an integer."""
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
    """Write the copy of a file."""
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
