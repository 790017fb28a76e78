"""Seeds that CI plays."""

CI_SEEDS = (1, 2)
CRASHING_SEED = 7401
ASKING_SEED = 3601
CI_SECONDS = 6.0

REGRESSIONS: dict[int, str] = {
    1012: 'a notice of changed settings ended a process that was starting',
    3001: 'a stream ended while an order to move it was on its way, and '
    'cutting it off crashed',
    1025: 'a watch that the store had forgotten waited on after an outage, '
    'and a replica got work 6.3 s after it said that it leaves',
}
"""Seeds that failed once, each with its cause."""
