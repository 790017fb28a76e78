"""Computes the cost of how a pool of replicas holds the layers of a model."""

import itertools
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeAlias

from ryelatch_core.fleet._performance import estimate_capacity, fit_layers
from ryelatch_core.fleet._types import LayerRange, ModelProfile, Replica

_MISSING_LAYER_COST = 1000.0
"""Cost of a layer that no replica holds.

The cost of a layer with memory for a single typical request is 1.
"""

FIRST_REPLICA_COST_RATIO = 0.3
"""Cost of a single first replica for a whole pool, relative to a copy's.

The loss of this replica cuts off all streams of the pool, and none can begin
until its layers are loaded elsewhere.
"""


@dataclass(frozen=True, slots=True)
class Move:
    """A command to a replica to hold a range of layers."""

    replica: Replica
    layers: LayerRange


Step: TypeAlias = tuple[Move, ...]
"""Commands that are useful only together."""


def fit_replica(
    replica: Replica, profile: ModelProfile, headroom: float
) -> int:
    """Count the layers that a replica may hold beside a number of requests.

    :param headroom: typical requests in progress for which memory is kept.
    """
    accelerator = profile.accelerators[replica.accelerator]
    return fit_layers(profile, accelerator, headroom)


def fit_pool(
    pool: Iterable[Replica],
    profile: ModelProfile,
    headroom: float,
) -> list[int]:
    """Count the layers that each replica of a pool may hold."""
    return [fit_replica(replica, profile, headroom) for replica in pool]


class PoolPlan:
    """A mutable plan of a pool, with the tokens that fit at each layer."""

    def __init__(self, pool: list[Replica], profile: ModelProfile) -> None:
        self.profile = profile
        self.held = {member.name: member.layers for member in pool}
        self.tokens = list(itertools.repeat(0.0, profile.layers))
        self._typical_tokens = profile.typical_prompt + profile.typical_answer
        self._first_replicas = 0
        self._first_replica_cost = (
            FIRST_REPLICA_COST_RATIO * self._compute_even_cost(pool)
        )
        for replica in pool:
            self._add(replica, replica.layers, 1)

    def compute_cost(self) -> float:
        """Compute the cost of all layers of the plan; less is better."""
        return sum(map(self._compute_layer_cost, self.tokens))

    def find_gap(self) -> LayerRange | None:
        """Find the first range of layers that no replica holds."""
        missing = [
            layer for layer, tokens in enumerate(self.tokens) if tokens <= 0
        ]
        if not missing:
            return None
        run = itertools.takewhile(
            lambda pair: pair[1] == missing[0] + pair[0], enumerate(missing)
        )
        return LayerRange(missing[0], missing[0] + len(list(run)))

    def is_redundant(self, replica: Replica) -> bool:
        """Return whether other replicas hold all layers of a replica."""
        layers = self.held[replica.name]
        if layers is None:
            return True
        capacity = self._find_capacity(replica, layers)
        held = self.tokens[layers.first : layers.end]
        return all(tokens > capacity + 1 for tokens in held)

    def compute_saving(self, step: Step) -> float:
        """Compute how much a step would reduce the cost of the plan."""
        held = [self.held[move.replica.name] for move in step]
        changed = [move.layers for move in step] + list(filter(None, held))
        first = min(part.first for part in changed)
        end = max(part.end for part in changed)
        before = list(self.tokens)
        first_replicas = self._first_replicas
        saved = self._compute_first_replica_cost()
        self.apply(step)
        saved -= self._compute_first_replica_cost()
        saved += sum(map(self._compute_layer_cost, before[first:end]))
        saved -= sum(map(self._compute_layer_cost, self.tokens[first:end]))
        self.held.update(
            (move.replica.name, layers)
            for move, layers in zip(step, held, strict=True)
        )
        self.tokens = before
        self._first_replicas = first_replicas
        return saved

    def apply(self, step: Step) -> None:
        """Apply a step to the plan."""
        for move in step:
            self._put(move.replica, move.layers)

    def _put(self, replica: Replica, layers: LayerRange | None) -> None:
        self._add(replica, self.held[replica.name], -1)
        self._add(replica, layers, 1)
        self.held[replica.name] = layers

    def _add(
        self,
        replica: Replica,
        layers: LayerRange | None,
        sign: int,
    ) -> None:
        if layers is None:
            return
        if not layers.first:
            self._first_replicas += sign
        capacity = self._find_capacity(replica, layers) * sign
        for layer in range(layers.first, min(layers.end, len(self.tokens))):
            self.tokens[layer] += capacity

    def _find_capacity(self, replica: Replica, layers: LayerRange) -> float:
        accelerator = self.profile.accelerators[replica.accelerator]
        return estimate_capacity(self.profile, accelerator, layers)

    def _compute_first_replica_cost(self) -> float:
        """Compute the cost of the risk that the first replicas are lost."""
        return self._first_replica_cost / max(1, self._first_replicas) ** 2

    def _compute_even_cost(self, pool: list[Replica]) -> float:
        """Compute the cost of one copy with the pool's memory spread evenly."""
        profile = self.profile
        memory = sum(
            profile.accelerators[replica.accelerator].memory_mb
            for replica in pool
        )
        free = memory / profile.layers - profile.layer_mb
        if free <= 0:
            return 0
        return (
            profile.layers
            * (self._typical_tokens * profile.kv_cache_mb / free) ** 2
        )

    def _compute_layer_cost(self, tokens: float) -> float:
        if tokens <= 1:
            return _MISSING_LAYER_COST
        # Squared, since every request passes through all layers: one layer
        # with little capacity limits the pool, whatever the others have.
        return float((self._typical_tokens / tokens) ** 2)
