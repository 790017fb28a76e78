"""A clock for tests of decisions."""


class FakeClock:
    """A clock that a test moves."""

    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        """Read it."""
        return self.now

    def wall(self) -> float:
        """Read it."""
        return self.now
