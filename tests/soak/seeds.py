"""Seeds that CI plays."""

CI_SEEDS = (1, 2)
CI_SECONDS = 6.0

REGRESSIONS: dict[int, str] = {}
"""Seeds that failed once, each with its cause."""
