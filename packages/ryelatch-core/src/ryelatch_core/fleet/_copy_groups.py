"""Decides how many complete copies of a model a pool of replicas holds.

A single copy over all replicas leaves the most memory for requests, but all
requests then share the same decoding steps: each request that is decoded slows
down every token of the others. More copies divide the requests among them and
make paths shorter, but the weights of each copy take memory. The number of
copies with the highest request rate lies in between.

A group consists of the replicas that together hold one copy.
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
    """Split a pool into groups that hold a copy each, fastest replicas first.

    Fast replicas stay together. The time of a token is the sum over all stages
    of its path, so slow replicas in every group would slow down all requests.

    :param headrooms: numbers of typical requests to try, for which each
        replica keeps memory.
    :param find_headroom: finds the largest headroom of a group beside a copy;
        0 if the group can't hold one.
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
    """Begin a new group when one is complete; the last takes the remainder."""
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
    """Estimate the requests per second of the replicas of one copy.

    Their memory is assumed to be full: ``headroom`` typical requests run at
    once. Each takes the prefill of its prompt and one decoding step for each
    token of its answer, over the layers of all replicas.

    :param group: the replicas that hold the copy.
    :param headroom: here the number of requests that run at once.
    """
    step = 0.0
    prefill = 0.0
    left = profile.layers
    for replica in group:
        accelerator = profile.accelerators[replica.accelerator]
        layers = min(left, fit_replica(replica, profile, headroom))
        left -= layers
        step += estimate_step(profile, accelerator, layers, headroom)
        prefill += estimate_prefill(
            profile, accelerator, layers, int(profile.typical_prompt)
        )
    return headroom / (step * profile.typical_answer + prefill)
