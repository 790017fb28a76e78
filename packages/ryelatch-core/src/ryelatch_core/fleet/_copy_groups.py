"""Decides how many whole copies of a model a pool of replicas holds.

One copy over all replicas leaves the most memory for requests, but then they
all wait for the same passes: each request that writes makes every token of
the others slower. More copies share that work out and make paths shorter,
but each takes its weights from the memory. In between lies the number that
serves the most requests a second.
"""

from collections.abc import Callable, Iterable, Sequence

from ryelatch_core.fleet._performance import estimate_prefill, estimate_step
from ryelatch_core.fleet._pool import fit_replica
from ryelatch_core.fleet._types import ModelProfile, Replica


def choose_copy_groups(
    pool: Sequence[Replica],
    profile: ModelProfile,
    headrooms: Iterable[int],
    find_headroom: Callable[[Sequence[Replica], ModelProfile], int],
) -> list[list[Replica]]:
    """Cut a pool into rows that hold a copy each, the fastest ones first.

    Fast replicas stay together: a token of a path takes as long as its slow
    parts, and mixed into each row they would slow down all requests.

    :param headrooms: numbers of usual requests to try, for which each replica
        keeps room.
    :param find_headroom: finds the most usual requests for which a row keeps
        room beside a copy; 0 if it can't hold one.
    """
    ordered = sorted(
        pool,
        key=lambda replica: (
            profile.accelerators[replica.accelerator].step_factor,
            replica.name,
        ),
    )
    options = [
        _split_replicas(ordered, profile, headroom) for headroom in headrooms
    ]
    return max(
        options,
        key=lambda groups: sum(
            _estimate_rate(group, profile, find_headroom(group, profile))
            for group in groups
        ),
    )


def _split_replicas(
    ordered: Sequence[Replica],
    profile: ModelProfile,
    headroom: int,
) -> list[list[Replica]]:
    """Begin a new row whenever one is whole; the last takes what is left."""
    groups: list[list[Replica]] = []
    group: list[Replica] = []
    held = 0
    for replica in ordered:
        group.append(replica)
        held += fit_replica(replica, profile, headroom)
        if held >= profile.layers:
            groups.append(group)
            group, held = [], 0
    if not groups:
        return [group]
    return [*groups[:-1], groups[-1] + group]


def _estimate_rate(
    group: list[Replica],
    profile: ModelProfile,
    headroom: int,
) -> float:
    """Estimate the requests a second of a row whose memory is full."""
    step = 0.0
    prefill = 0.0
    left = profile.layers
    for replica in group:
        accelerator = profile.accelerators[replica.accelerator]
        layers = min(left, fit_replica(replica, profile, headroom))
        left -= layers
        step += estimate_step(profile, accelerator, layers, headroom)
        prefill += estimate_prefill(
            profile, accelerator, layers, int(profile.usual_prompt)
        )
    return headroom / (step * profile.usual_answer + prefill)
