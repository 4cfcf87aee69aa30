"""Rendezvous hashing: all instances pick the same owner independently."""

import math
from collections.abc import Iterable, Mapping

import xxhash

MAX_HASH = 2**64


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Returns the names in order of preference for a key, its owner first.

    When a name is removed, only the keys that it owned move.

        >>> rank("chat/0", ["a", "b"]) == rank("chat/0", ["b", "a"])
        True
    """
    return sorted(names, key=lambda name: (-_weight(key, name), name))


def weighted_rank(key: str, weights: Mapping[str, float]) -> list[str]:
    """Returns the names in order of preference for a key.

    Over many keys each name comes first as often as its weight says. With
    weights of 1 the order is that of `rank`.

        >>> names = {"a": 1.0, "b": 1.0}
        >>> weighted_rank("chat/0", names) == rank("chat/0", names)
        True
    """
    if all(weight == 1.0 for weight in weights.values()):
        return rank(key, weights)

    def cost(name: str) -> float:
        uniform = (_weight(key, name) + 1) / (MAX_HASH + 1)
        return -math.log(uniform) / weights[name]

    return sorted(weights, key=lambda name: (cost(name), name))


def owner(key: str, names: Iterable[str]) -> str | None:
    """Returns the owner of a key; None if there are no names."""
    return max(names, key=lambda name: (_weight(key, name), name), default=None)


def _weight(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\x00{name}".encode())
