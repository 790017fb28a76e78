"""Errors of the settings package."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Mistake:
    """One mistake in a settings file.

    :param line: counted from 1; 0 where the file has no such line.
    :param path: path in the tree, such as ``accounts/clinic/keys/0``.
    :param expected: what is expected at that path.
    """

    file: str
    line: int
    path: str
    expected: str

    def __str__(self) -> str:
        """Format like a compiler message, so that editors can jump to it."""
        return f'{self.file}:{self.line}: {self.path or "/"}: {self.expected}'


class SettingsError(Exception):
    """The settings are invalid.

    :param mistakes: all mistakes found, in the order of the file.
    """

    def __init__(self, mistakes: tuple[Mistake, ...]) -> None:
        super().__init__('\n'.join(str(mistake) for mistake in mistakes))
        self.mistakes = mistakes
