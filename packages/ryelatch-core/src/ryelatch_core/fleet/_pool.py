"""Weighs how well a pool of replicas holds the layers of a model."""

import itertools
from dataclasses import dataclass

from ryelatch_core.fleet._performance import estimate_capacity
from ryelatch_core.fleet._types import LayerRange, ModelProfile, Replica

_MISSING = 1000.0
"""Weight of a layer that nobody holds, in layers with room for one request."""


@dataclass(frozen=True, slots=True)
class Move:
    """An order to a replica to hold a range of layers."""

    replica: Replica
    layers: LayerRange


class PoolPlan:
    """A plan in the making, with the tokens that fit at each layer."""

    def __init__(self, pool: list[Replica], profile: ModelProfile) -> None:
        self.profile = profile
        self.held = {one.name: one.layers for one in pool}
        self.tokens = list(itertools.repeat(0.0, profile.layers))
        self._usual = profile.usual_prompt + profile.usual_answer
        for replica in pool:
            self._add(replica, replica.layers, 1)

    def weigh(self) -> float:
        """Weigh the plan; less is better."""
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

    def rate(self, move: Move) -> float:
        """Tell how much a step would save."""
        replica, before = move.replica, self.held[move.replica.name]
        room = self._find_room(replica, move.layers)
        old_room = self._find_room(replica, before) if before else 0.0
        saved = 0.0
        ranges = (move.layers, before or move.layers)
        first = min(one.first for one in ranges)
        end = max(one.end for one in ranges)
        for layer in range(first, end):
            tokens = self.tokens[layer]
            change = room if _has(move.layers, layer) else 0.0
            if before and _has(before, layer):
                change -= old_room
            saved += self._weigh_layer(tokens)
            saved -= self._weigh_layer(tokens + change)
        return saved

    def apply(self, move: Move) -> None:
        """Take a step."""
        self._add(move.replica, self.held[move.replica.name], -1)
        self._add(move.replica, move.layers, 1)
        self.held[move.replica.name] = move.layers

    def _add(
        self,
        replica: Replica,
        layers: LayerRange | None,
        sign: int,
    ) -> None:
        if layers is None:
            return
        room = self._find_room(replica, layers) * sign
        for layer in range(layers.first, min(layers.end, len(self.tokens))):
            self.tokens[layer] += room

    def _find_room(self, replica: Replica, layers: LayerRange) -> float:
        accelerator = self.profile.accelerators[replica.accelerator]
        return estimate_capacity(self.profile, accelerator, layers)

    def _weigh_layer(self, tokens: float) -> float:
        if tokens <= 1:
            return _MISSING
        return self._usual / tokens


def _has(layers: LayerRange, layer: int) -> bool:
    return layers.first <= layer < layers.end
