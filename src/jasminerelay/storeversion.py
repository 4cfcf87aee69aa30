"""Versions of the store that stay ordered when the store loses writes.

The store numbers its transactions. If it comes back from an older copy of its
data, it gives out numbers again, and counts such returns as its era. A version
combines both in one integer: a later era is newer, whatever its numbers. In the
first era, 0, a version equals its number.
"""

ERA_SHIFT_BITS = 40
"""Bits of a number: a store would need decades to exceed them, and thousands of
eras still fit into the integers that JSON readers represent exactly."""

MAX_ERA = (1 << 12) - 1
"""Highest era; versions of higher ones would not be represented exactly."""

_NUMBER_MASK = (1 << ERA_SHIFT_BITS) - 1


def make(era: int, number: int) -> int:
    """Returns the version of a number in an era.

    >>> make(0, 7), make(1, 3) > make(0, 7)
    (7, True)
    """
    return era << ERA_SHIFT_BITS | number


def era_of(version: int) -> int:
    """Returns the era of a version."""
    return version >> ERA_SHIFT_BITS


def number_of(version: int) -> int:
    """Returns a version's number in its era."""
    return version & _NUMBER_MASK
