"""Predicts memory and times of replicas from the model's profile."""

from ryelatch_core.fleet._types import Accelerator, LayerRange, ModelProfile

_MS = 1000.0


def fit_layers(
    profile: ModelProfile,
    accelerator: Accelerator,
    requests: float,
) -> int:
    """Count the layers that leave room for a number of usual requests.

    Weights and caches share the memory: a replica with one layer less holds
    more requests, but a copy of the model then takes more replicas.

    :param requests: usual requests in progress at once.
    """
    tokens = profile.typical_prompt + profile.typical_answer
    per_layer = profile.layer_mb + requests * tokens * profile.kv_cache_mb
    return min(profile.layers, int(accelerator.memory_mb / per_layer))


def estimate_capacity(
    profile: ModelProfile,
    accelerator: Accelerator,
    layers: LayerRange,
) -> float:
    """Estimate the tokens whose caches fit beside a range of layers."""
    free = accelerator.memory_mb - len(layers) * profile.layer_mb
    return max(0, free / (len(layers) * profile.kv_cache_mb))


def estimate_step(
    profile: ModelProfile,
    accelerator: Accelerator,
    layers: int,
    writers: float,
) -> float:
    """Estimate the seconds of one token step over some layers.

    :param writers: requests that the replica writes for at once.
    """
    whole = profile.step_ms + writers * profile.sequence_ms
    share = layers / profile.layers
    return whole * accelerator.step_factor * share / _MS


def estimate_reading(
    profile: ModelProfile,
    accelerator: Accelerator,
    layers: int,
    tokens: float,
) -> float:
    """Estimate the seconds of reading a prompt through some layers."""
    share = layers / profile.layers
    whole = tokens / profile.prefill_tokens_per_ms
    return whole * accelerator.read_factor * share / _MS
