"""Rendezvous hashing: all instances pick the same owner independently."""

from collections.abc import Iterable

import xxhash


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Returns the names in order of preference for a key, its owner first.

    When a name is removed, only the keys that it owned move.

        >>> rank("chat/0", ["a", "b"]) == rank("chat/0", ["b", "a"])
        True
    """
    return sorted(names, key=lambda name: (-_weight(key, name), name))


def owner(key: str, names: Iterable[str]) -> str | None:
    """Returns the owner of a key; None if there are no names."""
    return max(names, key=lambda name: (_weight(key, name), name), default=None)


def _weight(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\x00{name}".encode())
