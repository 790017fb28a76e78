"""Counts commands that an engine executes in error after a holder's pause.

A node takes the lease and is paused for a random time before the engine reads
its command. Another node takes the lease when it expires, and sends a command
too. The first command is executed in error if the engine reads it after the
second one.
"""

import random

from common import print_table, save_result

from ryelatch_core.membership import (
    COMMAND_TIMEOUT_SECONDS,
    TTL_SECONDS,
    may_send_command,
)

_TRIALS = 20_000
_MEAN_PAUSE_SECONDS = 4.0
_MAX_DETECTION_SECONDS = 0.25


def run_trial(random_source: random.Random) -> dict[str, bool]:
    """Simulate one pause.

    :returns: whether the paused holder's command was executed in error, by the
        method that guards against it.
    """
    before_check = random_source.expovariate(1 / _MEAN_PAUSE_SECONDS)
    after_check = random_source.expovariate(1 / _MEAN_PAUSE_SECONDS)
    checked = before_check
    arrives = before_check + after_check
    taken_over = TTL_SECONDS + random_source.uniform(0, _MAX_DETECTION_SECONDS)
    second_immediate = taken_over + random_source.uniform(0, 0.1)
    second_delayed = taken_over + COMMAND_TIMEOUT_SECONDS
    may_send = may_send_command(0, -COMMAND_TIMEOUT_SECONDS, checked)
    still_held = checked < taken_over
    arrives_in_time = after_check <= COMMAND_TIMEOUT_SECONDS
    return {
        'lease only, no check': arrives > second_immediate,
        'read at dispatch': still_held and arrives > second_immediate,
        'read, order in time or not at all': may_send
        and still_held
        and arrives_in_time
        and arrives > second_delayed,
        'read, order after any pause': may_send
        and still_held
        and arrives > second_delayed,
        'engine checks the fencing number': False,
    }


def main() -> None:
    """Count errors by method over many trials."""
    random_source = random.Random(3)
    trials = [run_trial(random_source) for _ in range(_TRIALS)]
    rows = [
        {
            'way': method,
            'in_error': sum(trial[method] for trial in trials),
            'trials': _TRIALS,
        }
        for method in trials[0]
    ]
    print_table('Orders taken in error, pauses of 4 s on average', rows)
    save_result('fencing', {'mean_pause_s': _MEAN_PAUSE_SECONDS, 'rows': rows})


if __name__ == '__main__':
    main()
