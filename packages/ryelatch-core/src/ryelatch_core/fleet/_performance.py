"""Predicts memory use and step times of replicas from the model's profile."""

from ryelatch_core.fleet._types import Accelerator, LayerRange, ModelProfile

_MS = 1000.0
_TOKENS_PER_CONTEXT = 1000.0


def fit_layers(
    profile: ModelProfile,
    accelerator: Accelerator,
    requests: float,
) -> int:
    """Count the layers that leave headroom for a number of typical requests.

    Weights and KV caches share the memory. A replica with one layer less holds
    more requests, but a copy of the model then takes more replicas.

    :param requests: typical requests in progress at once.
    """
    tokens = profile.typical_prompt + profile.typical_answer
    per_layer = profile.layer_mb + requests * tokens * profile.kv_cache_mb
    return min(profile.layers, int(accelerator.memory_mb / per_layer))


def estimate_capacity(
    profile: ModelProfile,
    accelerator: Accelerator,
    layers: LayerRange,
) -> float:
    """Estimate the tokens whose KV caches fit beside a range of layers."""
    free = accelerator.memory_mb - len(layers) * profile.layer_mb
    return max(0, free / (len(layers) * profile.kv_cache_mb))


def estimate_step(
    profile: ModelProfile,
    accelerator: Accelerator,
    layers: int,
    sequences: float,
    context: float = 0,
) -> float:
    """Estimate the duration of one decode step over some layers, in seconds.

    :param sequences: number of requests that are decoded together.
    :param context: tokens of these requests, where known.
    """
    total = profile.step_ms + sequences * profile.sequence_ms
    total += context / _TOKENS_PER_CONTEXT * profile.context_ms
    fraction = layers / profile.layers
    return total * accelerator.step_factor * fraction / _MS


def estimate_prefill(
    profile: ModelProfile,
    accelerator: Accelerator,
    layers: int,
    tokens: float,
) -> float:
    """Estimate the duration of the prefill of a prompt, in seconds."""
    fraction = layers / profile.layers
    total = tokens / profile.prefill_tokens_per_ms
    return total * accelerator.prefill_factor * fraction / _MS
