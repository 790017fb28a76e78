"""A deterministic model whose every layer changes the text.

A layer folds each position into its own cache entry and mixes that into the
activation; so a layer skipped, run twice or fed from another stream gives
another text from there on.
"""

from collections.abc import Sequence

_MODULUS = 2**61 - 1
_MIX = 6364136223846793005
_FOLD = 1442695040888963407
_FIRST_PRINTABLE = 32
_PRINTABLE = 95
_END_ONE_IN = 997
END_TOKEN = 0


def embed(token: int) -> int:
    """Turn a token into the activation that enters layer 0."""
    return (token + 1) * _FOLD % _MODULUS


def run_layer(layer: int, kept: int, activation: int) -> tuple[int, int]:
    """Run one layer over one position.

    :param kept: the layer's cache after the position before.
    :returns: the layer's cache, and the activation for the next layer.
    """
    cache = (kept * _MIX + activation + layer + 1) % _MODULUS
    return cache, (activation * _FOLD + cache * (layer + 7)) % _MODULUS


def sample(activation: int) -> int:
    """Turn the activation that leaves the last layer into a token."""
    if activation % _END_ONE_IN == 0:
        return END_TOKEN
    return _FIRST_PRINTABLE + activation // _END_ONE_IN % _PRINTABLE


def complete(prompt: Sequence[int], layers: int, limit: int) -> str:
    """Give the right answer to a prompt."""
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
    """Give the right answer to a chat of one user turn."""
    text = f'user: {content}\nassistant: '
    return complete(text.encode(), layers, limit)
