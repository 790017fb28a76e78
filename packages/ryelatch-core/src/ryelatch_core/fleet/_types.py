"""Replicas, the layers they hold, and the model that is split over them."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LayerRange:
    """Layers from ``first`` up to, but without, ``end``."""

    first: int
    end: int

    def __len__(self) -> int:
        """Count the layers."""
        return self.end - self.first

    def covers(self, other: 'LayerRange') -> bool:
        """Whether all layers of another range are in this one."""
        return self.first <= other.first and other.end <= self.end


@dataclass(frozen=True, slots=True)
class Replica:
    """One life of an upstream process, as the registry lists it.

    A process may start again under the entry that it had, and then holds
    nothing. All that a node knows of a replica is kept by the name of its
    life, so nothing learned of an earlier one is held against a later one.

    :param name: of this life; a restart has a new one.
    :param entry: the registry's name for it, which a later life may share.
    :param started_at: when this life began, in milliseconds; 0 if it didn't say.
    :param address: ``host:port``; may belong to another replica later.
    :param accelerator: its kind; empty for a plain service.
    :param layers: what it holds, or nothing yet.
    :param version: of the weights that it holds.
    :param slots: requests that it works on at once.
    :param leaving: whether it said that it will stop.
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
        """Take the name for the entry's where lives are not told apart."""
        if not self.entry:
            object.__setattr__(self, 'entry', self.name)


def name_incarnation(entry: str, started_at: int) -> str:
    """Name the life of a replica that the registry lists under an entry.

    :param started_at: milliseconds; 0 where lives are not told apart.
    """
    return f'{entry}+{started_at}' if started_at else entry


@dataclass(frozen=True, slots=True)
class Accelerator:
    """A kind of accelerator, relative to the profile's figures.

    :param memory_mb: for layers and for requests together.
    :param step_factor: by which token steps take longer.
    :param read_factor: by which reading prompts takes longer.
    """

    memory_mb: float
    step_factor: float
    read_factor: float


@dataclass(frozen=True, slots=True)
class ModelProfile:
    """What a service's engines need for a model, and how fast they are.

    Times are for all layers; a part of them takes its share.

    :param kv_cache_mb: memory of one token in one layer.
    :param step_ms: of one token step, whatever the batch.
    :param sequence_ms: added to a step for each request that writes.
    :param prefill_tokens_per_ms: tokens of prompts read in a millisecond.
    :param load_seconds: to load all layers.
    :param typical_prompt: mean tokens of a prompt.
    :param typical_answer: mean tokens of an answer.
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


@dataclass(frozen=True, slots=True)
class Stage:
    """The part of a path that one replica runs."""

    replica: Replica
    layers: LayerRange
