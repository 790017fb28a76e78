"""Errors of the settings layer."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Mistake:
    """One thing wrong in a settings file.

    :param line: counted from 1; 0 where the file has no such line.
    :param path: the place in the tree, such as ``accounts/clinic/keys/0``.
    :param expected: what should stand there.
    """

    file: str
    line: int
    path: str
    expected: str

    def __str__(self) -> str:
        """Format as compilers do, so that editors can jump to it."""
        return f'{self.file}:{self.line}: {self.path or "/"}: {self.expected}'


class SettingsError(Exception):
    """The settings can't be accepted.

    :param mistakes: every mistake found, in the order of the file.
    """

    def __init__(self, mistakes: tuple[Mistake, ...]) -> None:
        super().__init__('\n'.join(str(mistake) for mistake in mistakes))
        self.mistakes = mistakes
