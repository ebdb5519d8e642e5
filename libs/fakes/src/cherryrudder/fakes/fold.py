"""The stand-in model: each layer hashes its input and its KV.

A layer that is skipped, run twice or run out of order changes every later token, so
the generated text shows whether each layer ran exactly once per token.
"""

import xxhash

WORDS = tuple(
    f"{first}{second}"
    for first in ("ra", "ve", "mi", "to", "lu", "sa", "ne", "ki")
    for second in ("dor", "lan", "mis", "ter", "val", "nor", "gis", "pem")
)
EMPTY_KV = "0"


def tokenize(prompt: str) -> list[str]:
    """Return the tokens of a prompt: its words."""
    return prompt.split()


def run_layer(model: str, layer: int, kv: str, value: str) -> tuple[str, str]:
    """Return a layer's output and its new KV state for one position."""
    output = _digest(f"{model}/{layer}/{kv}/{value}")
    return output, _digest(f"{kv}/{output}")


def pick_token(value: str) -> str:
    """Return the token for an output of the last layer."""
    return WORDS[int(value, 16) % len(WORDS)]


def generate(model: str, layers: int, prompt: str, max_tokens: int) -> list[str]:
    """Return the tokens that a single machine with all layers would generate."""
    kv = [EMPTY_KV] * layers
    pending = tokenize(prompt)
    tokens = []
    while len(tokens) < max_tokens:
        for token in pending:
            value = token
            for layer in range(layers):
                value, kv[layer] = run_layer(model, layer, kv[layer], value)
        tokens.append(pick_token(value))
        pending = tokens[-1:]
    return tokens


def _digest(text):
    # xxhash 4 accepts bytes only.
    return xxhash.xxh64_hexdigest(text.encode())
