"""Deterministic model in which each layer affects the generated text.

A layer hashes each position into its own cache and mixes the cache into the
activation. A layer that is skipped, run twice or run with another stream's
cache changes all text from that position on.
"""

from collections.abc import Sequence

_MODULUS = 2**61 - 1
_MIX = 6364136223846793005
_FOLD = 1442695040888963407
_FIRST_PRINTABLE = 32
_PRINTABLE = 95
_END_TOKEN_PERIOD = 997
END_TOKEN = 0


def embed(token: int) -> int:
    """Compute the activation of a token that enters layer 0."""
    return (token + 1) * _FOLD % _MODULUS


def run_layer(
    layer: int, previous_cache: int, activation: int
) -> tuple[int, int]:
    """Run one layer over one position.

    :param previous_cache: the layer's cache after the previous position.
    :returns: the layer's new cache, and the activation for the next layer.
    """
    cache = (previous_cache * _MIX + activation + layer + 1) % _MODULUS
    return cache, (activation * _FOLD + cache * (layer + 7)) % _MODULUS


def sample(activation: int) -> int:
    """Compute the token from the activation that leaves the last layer."""
    if activation % _END_TOKEN_PERIOD == 0:
        return END_TOKEN
    return _FIRST_PRINTABLE + activation // _END_TOKEN_PERIOD % _PRINTABLE


def complete(prompt: Sequence[int], layers: int, limit: int) -> str:
    """Compute the correct answer to a prompt.

    :param layers: number of layers of the model.
    :param limit: most tokens of the answer.
    """
    caches = [0] * layers
    text: list[int] = []
    pending = list(prompt)
    while len(text) < limit:
        activation = 0
        for token in pending:
            activation = embed(token)
            for layer in range(layers):
                caches[layer], activation = run_layer(
                    layer, caches[layer], activation
                )
        token = sample(activation)
        if token == END_TOKEN:
            break
        text.append(token)
        pending = [token]
    return bytes(text).decode('latin-1')


def complete_chat(content: str, layers: int, limit: int) -> str:
    """Compute the correct answer to a chat of one user message."""
    text = f'user: {content}\nassistant: '
    return complete(text.encode(), layers, limit)
