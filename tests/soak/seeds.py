"""Seeds that CI runs."""

CI_SEEDS = (1, 2)
CRASHING_SEED = 7401
CRASHING_PART_SEED = 7501
ENDING_SEED = 7601
ASKING_SEED = 3601
CUTTING_SEED = 5101
PAUSING_SEED = 6301
RELEASING_SEED = 9101
LEAVING_SEED = 7001
CROWDING_SEED = 7901
KILLING_SEEDS = (7301, 7302)
CI_SECONDS = 6.0
KILLING_SECONDS = 8.0

REGRESSIONS: dict[int, str] = {
    1012: 'the signal for changed settings killed a starting process',
    3001: 'a stream finished while the command to move it was in flight, and '
    'aborting it crashed',
    1025: 'a watch whose history the store had dropped kept waiting after an '
    'outage, and a replica got work 6.3 s after it announced that it leaves',
}
"""Seeds that failed before, with the cause of each."""

CRASHING_REGRESSIONS: dict[int, str] = {
    880205: 'a request was refused for the crashes of another one, before the '
    'reports of other nodes had arrived',
}
"""The same for soaks with a request that crashes replicas."""
