"""Replicas, the layers they hold, and the model that is split over them."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LayerRange:
    """Layers from ``first`` up to, but excluding, ``end``."""

    first: int
    end: int

    def __len__(self) -> int:
        """Count the layers."""
        return self.end - self.first

    def covers(self, other: 'LayerRange') -> bool:
        """Return whether all layers of another range are in this one."""
        return self.first <= other.first and other.end <= self.end


@dataclass(frozen=True, slots=True)
class Replica:
    """One incarnation of an upstream process, as the registry lists it.

    A process may restart under the same registry entry, and then holds no
    layers. State about a replica is stored by the name of its incarnation, so
    nothing recorded of an earlier incarnation is applied to a later one.

    :param name: of this incarnation; a restarted process has a new one.
    :param entry: name in the registry, which a later incarnation may share.
    :param started_at: start of this incarnation in milliseconds; 0 if not
        reported.
    :param address: ``host:port``; may belong to another replica later.
    :param accelerator: its kind; empty for a service without a model.
    :param layers: those it holds; None if it holds none yet.
    :param version: of the weights that it holds.
    :param slots: number of requests that it processes at once.
    :param leaving: whether it has announced that it will stop.
    """

    name: str
    service: str
    address: str
    zone: str
    accelerator: str = ''
    layers: LayerRange | None = None
    version: int = 0
    slots: int = 1
    leaving: bool = False
    entry: str = ''
    started_at: int = 0

    def __post_init__(self) -> None:
        """Use the name as entry where incarnations are not distinguished."""
        if not self.entry:
            object.__setattr__(self, 'entry', self.name)


def name_incarnation(entry: str, started_at: int) -> str:
    """Build the name of an incarnation of a registry entry.

    :param started_at: milliseconds; 0 where incarnations are not distinguished.
    """
    return f'{entry}+{started_at}' if started_at else entry


@dataclass(frozen=True, slots=True)
class Accelerator:
    """Memory of a kind of accelerator, and its speed relative to the profile.

    :param memory_mb: for layers and KV caches together.
    :param step_factor: factor of the duration of decode steps.
    :param prefill_factor: factor of the duration of prefill.
    """

    memory_mb: float
    step_factor: float
    prefill_factor: float


@dataclass(frozen=True, slots=True)
class ModelProfile:
    """Memory use and speed of a service's engines for a model.

    Times are for all layers; those of a part are proportional to its layers.

    :param layer_mb: weights of one layer.
    :param kv_cache_mb: KV cache of one token in one layer.
    :param step_ms: duration of one decode step, whatever the batch.
    :param sequence_ms: added to a step for each request that is decoded.
    :param prefill_tokens_per_ms: prompt tokens per millisecond of prefill.
    :param load_seconds: to load all layers.
    :param typical_prompt: mean tokens of a prompt.
    :param typical_answer: mean tokens of an answer.
    :param accelerators: by name of their kind.
    :param context_ms: added to a step for each thousand tokens of context of
        the requests that are decoded.
    :param steps_per_event: decode steps that an event of a stream takes.
    """

    layers: int
    layer_mb: float
    kv_cache_mb: float
    step_ms: float
    sequence_ms: float
    prefill_tokens_per_ms: float
    load_seconds: float
    typical_prompt: float
    typical_answer: float
    accelerators: Mapping[str, Accelerator]
    context_ms: float = 0
    steps_per_event: int = 1


@dataclass(frozen=True, slots=True)
class Stage:
    """The part of a path that one replica runs."""

    replica: Replica
    layers: LayerRange
