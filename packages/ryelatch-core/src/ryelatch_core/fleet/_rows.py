"""Decides how many whole copies of a model a pool of replicas holds.

One copy over all replicas leaves the most memory for requests, but then they
all wait for the same passes: each request that writes makes every token of
the others slower. More copies share that work out and make paths shorter,
but each takes its weights from the memory. In between lies the number that
serves the most requests a second.
"""

from collections.abc import Callable, Iterable, Sequence

from ryelatch_core.fleet._performance import estimate_reading, estimate_step
from ryelatch_core.fleet._pool import fit_replica
from ryelatch_core.fleet._types import ModelProfile, Replica


def choose_rows(
    pool: Sequence[Replica],
    profile: ModelProfile,
    rooms: Iterable[int],
    find_room: Callable[[Sequence[Replica], ModelProfile], int],
) -> list[list[Replica]]:
    """Cut a pool into rows that hold a copy each, the fastest ones first.

    Fast replicas stay together: a token of a path takes as long as its slow
    parts, and mixed into each row they would slow down all requests.

    :param rooms: numbers of usual requests to try, for which each replica
        keeps room.
    :param find_room: finds the most usual requests for which a row keeps
        room beside a copy; 0 if it can't hold one.
    """
    ordered = sorted(
        pool,
        key=lambda one: (
            profile.accelerators[one.accelerator].step_factor,
            one.name,
        ),
    )
    options = [_cut_rows(ordered, profile, room) for room in rooms]
    return max(
        options,
        key=lambda rows: sum(
            _estimate_rate(row, profile, find_room(row, profile))
            for row in rows
        ),
    )


def _cut_rows(
    ordered: Sequence[Replica],
    profile: ModelProfile,
    room: int,
) -> list[list[Replica]]:
    """Begin a new row whenever one is whole; the last takes what is left."""
    rows: list[list[Replica]] = []
    row: list[Replica] = []
    held = 0
    for replica in ordered:
        row.append(replica)
        held += fit_replica(replica, profile, room)
        if held >= profile.layers:
            rows.append(row)
            row, held = [], 0
    if not rows:
        return [row]
    return [*rows[:-1], rows[-1] + row]


def _estimate_rate(
    row: list[Replica],
    profile: ModelProfile,
    room: int,
) -> float:
    """Estimate the requests a second of a row whose memory is full."""
    step = 0.0
    reading = 0.0
    left = profile.layers
    for replica in row:
        accelerator = profile.accelerators[replica.accelerator]
        layers = min(left, fit_replica(replica, profile, room))
        left -= layers
        step += estimate_step(profile, accelerator, layers, room)
        reading += estimate_reading(
            profile, accelerator, layers, int(profile.typical_prompt)
        )
    return room / (step * profile.typical_answer + reading)
