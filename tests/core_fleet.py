"""A typical model and fleet for tests of placement and path choice.

The figures are those of a model of 80 layers on three kinds of accelerators.
"""

import random

from ryelatch_core.fleet import (
    Accelerator,
    LayerRange,
    ModelProfile,
    PathQuery,
    Replica,
    Stage,
)

TYPICAL_MODEL = ModelProfile(
    layers=80,
    layer_mb=1750,
    kv_cache_mb=0.01475,
    step_ms=1.02,
    sequence_ms=0.0092,
    prefill_tokens_per_ms=164,
    load_seconds=14,
    typical_prompt=775,
    typical_answer=216,
    accelerators={
        'a100': Accelerator(72_000, 2.4, 3.2),
        'v100': Accelerator(14_400, 5.3, 7.9),
        'l4': Accelerator(21_600, 16, 8.2),
    },
)

ZONES = {
    'zone-a': {'a100': 1, 'v100': 10, 'l4': 4},
    'zone-b': {'a100': 2, 'v100': 4, 'l4': 4},
    'zone-c': {'a100': 1, 'v100': 6, 'l4': 6},
}


def make_fleet() -> list[Replica]:
    """Make the replicas of three zones, without any layers."""
    return [
        Replica(
            f'{zone}-{kind}-{number}',
            'model',
            f'{zone}-{kind}-{number}:80',
            zone,
            kind,
        )
        for zone, counts in ZONES.items()
        for kind, count in counts.items()
        for number in range(count)
    ]


def make_replica(
    name: str, first: int, end: int, zone: str = 'zone-a', kind: str = 'a100'
) -> Replica:
    """Make a replica that holds layers.

    :param end: the layer after the last that it holds.
    """
    return Replica(
        name, 'model', f'{name}:80', zone, kind, LayerRange(first, end), 1
    )


def make_query(seed: int = 1, **changes: object) -> PathQuery:
    """Make a path query for a typical request.

    :param seed: seed of the random samples.
    :param changes: fields that differ from those of a typical request.
    """
    rng = random.Random(seed)
    fields: dict[str, object] = {
        'profile': TYPICAL_MODEL,
        'zone': 'zone-a',
        'prompt': 775,
        'answer': 216,
        'sample': rng.random,
        **changes,
    }
    return PathQuery(**fields)  # type: ignore[arg-type]


def runs_each_layer_once(path: tuple[Stage, ...], layers: int = 80) -> bool:
    """Return whether a path runs each layer once and in order."""
    run = [
        layer
        for stage in path
        for layer in range(stage.layers.first, stage.layers.end)
    ]
    names = [stage.replica.name for stage in path]
    return run == list(range(layers)) and len(set(names)) == len(names)
