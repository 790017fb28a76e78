"""Clock for tests that control the time."""


class FakeClock:
    """Clock whose time, in seconds, a test sets through ``now``."""

    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        """Return the set time."""
        return self.now

    def wall(self) -> float:
        """Return the set time."""
        return self.now
