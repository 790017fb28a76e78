"""Orders taken in error when lease holders are paused.

A holder takes a lease and, before its order is read by the engine, is paused
for a random time. Another takes the lease when it lapses and orders too. An
order that an engine takes after one of a later holder is taken in error.
"""

import random

from common import print_table, save_result

from ryelatch_core.membership import (
    COMMAND_TIMEOUT_SECONDS,
    TTL_SECONDS,
    may_send_command,
)

_TRIALS = 20_000
_MEAN_PAUSE = 4.0
_DETECT = 0.25


def run_trial(chance: random.Random) -> dict[str, bool]:
    """Run one; for each way, whether the paused order was taken in error."""
    before_check = chance.expovariate(1 / _MEAN_PAUSE)
    after_check = chance.expovariate(1 / _MEAN_PAUSE)
    checked = before_check
    arrives = before_check + after_check
    taken_over = TTL_SECONDS + chance.uniform(0, _DETECT)
    second_plain = taken_over + chance.uniform(0, 0.1)
    second_waits = taken_over + COMMAND_TIMEOUT_SECONDS
    in_time = may_send_command(0, -COMMAND_TIMEOUT_SECONDS, checked)
    proved = checked < taken_over
    on_time = after_check <= COMMAND_TIMEOUT_SECONDS
    return {
        'lease only, no check': arrives > second_plain,
        'read at dispatch': proved and arrives > second_plain,
        'read, order in time or not at all': in_time
        and proved
        and on_time
        and arrives > second_waits,
        'read, order after any pause': in_time
        and proved
        and arrives > second_waits,
        'engine checks the fencing number': False,
    }


def main() -> None:
    """Count over many trials."""
    chance = random.Random(3)
    trials = [run_trial(chance) for _ in range(_TRIALS)]
    rows = [
        {
            'way': way,
            'in_error': sum(trial[way] for trial in trials),
            'trials': _TRIALS,
        }
        for way in trials[0]
    ]
    print_table('Orders taken in error, pauses of 4 s on average', rows)
    save_result('fencing', {'mean_pause_s': _MEAN_PAUSE, 'rows': rows})


if __name__ == '__main__':
    main()
