"""Weighs how well a pool of replicas holds the layers of a model."""

import itertools
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeAlias

from ryelatch_core.fleet._performance import estimate_capacity, fit_layers
from ryelatch_core.fleet._types import LayerRange, ModelProfile, Replica

_MISSING = 1000.0
"""Weight of a layer that nobody holds, in layers with room for one request."""

HEAD_SHARE = 0.3
"""Weight of one replica alone that begins all paths of a pool.

In shares of a copy's weight. Its loss cuts off all streams of the pool, and
none begins until its layers are loaded elsewhere.
"""


@dataclass(frozen=True, slots=True)
class Move:
    """An order to a replica to hold a range of layers."""

    replica: Replica
    layers: LayerRange


Step: TypeAlias = tuple[Move, ...]
"""Orders that only make sense together."""


def fit_replica(replica: Replica, profile: ModelProfile, room: float) -> int:
    """Count the layers that a replica may hold beside a number of requests.

    :param room: usual requests in progress for which memory is kept.
    """
    accelerator = profile.accelerators[replica.accelerator]
    return fit_layers(profile, accelerator, room)


def fit_pool(
    pool: Iterable[Replica],
    profile: ModelProfile,
    room: float,
) -> list[int]:
    """Count the layers that each replica of a pool may hold."""
    return [fit_replica(one, profile, room) for one in pool]


class PoolPlan:
    """A plan in the making, with the tokens that fit at each layer."""

    def __init__(self, pool: list[Replica], profile: ModelProfile) -> None:
        self.profile = profile
        self.held = {one.name: one.layers for one in pool}
        self.tokens = list(itertools.repeat(0.0, profile.layers))
        self._usual = profile.typical_prompt + profile.typical_answer
        self._heads = 0
        self._head_weight = HEAD_SHARE * self._weigh_even(pool)
        for replica in pool:
            self._add(replica, replica.layers, 1)

    def weigh(self) -> float:
        """Weigh the layers of the plan; less is better."""
        return sum(map(self._weigh_layer, self.tokens))

    def find_gap(self) -> LayerRange | None:
        """Find the first range of layers that nobody holds."""
        missing = [
            layer for layer, tokens in enumerate(self.tokens) if tokens <= 0
        ]
        if not missing:
            return None
        run = itertools.takewhile(
            lambda pair: pair[1] == missing[0] + pair[0], enumerate(missing)
        )
        return LayerRange(missing[0], missing[0] + len(list(run)))

    def is_spared(self, replica: Replica) -> bool:
        """Whether others hold all layers that a replica holds."""
        layers = self.held[replica.name]
        if layers is None:
            return True
        room = self._find_room(replica, layers)
        held = self.tokens[layers.first : layers.end]
        return all(tokens > room + 1 for tokens in held)

    def rate(self, step: Step) -> float:
        """Tell how much a step would save."""
        held = [self.held[move.replica.name] for move in step]
        changed = [move.layers for move in step] + list(filter(None, held))
        first = min(one.first for one in changed)
        end = max(one.end for one in changed)
        before = list(self.tokens)
        heads = self._heads
        saved = self._weigh_heads()
        self.apply(step)
        saved -= self._weigh_heads()
        saved += sum(map(self._weigh_layer, before[first:end]))
        saved -= sum(map(self._weigh_layer, self.tokens[first:end]))
        self.held.update(
            (move.replica.name, layers)
            for move, layers in zip(step, held, strict=True)
        )
        self.tokens = before
        self._heads = heads
        return saved

    def apply(self, step: Step) -> None:
        """Take a step."""
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
            self._heads += sign
        room = self._find_room(replica, layers) * sign
        for layer in range(layers.first, min(layers.end, len(self.tokens))):
            self.tokens[layer] += room

    def _find_room(self, replica: Replica, layers: LayerRange) -> float:
        accelerator = self.profile.accelerators[replica.accelerator]
        return estimate_capacity(self.profile, accelerator, layers)

    def _weigh_heads(self) -> float:
        """Weigh the risk that the replicas that begin paths are lost."""
        return self._head_weight / max(1, self._heads) ** 2

    def _weigh_even(self, pool: list[Replica]) -> float:
        """Weigh a copy for which a pool's memory is spread evenly."""
        profile = self.profile
        memory = sum(
            profile.accelerators[one.accelerator].memory_mb for one in pool
        )
        free = memory / profile.layers - profile.layer_mb
        if free <= 0:
            return 0
        return profile.layers * (self._usual * profile.kv_cache_mb / free) ** 2

    def _weigh_layer(self, tokens: float) -> float:
        if tokens <= 1:
            return _MISSING
        # Squared, as every request passes through all layers: one layer with
        # little room holds up the pool however much the others have.
        return float((self._usual / tokens) ** 2)
