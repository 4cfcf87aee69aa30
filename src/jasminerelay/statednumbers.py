"""Numbers that callers, servers, other writers and instances state.

Pure. Each such number is read here, or into one of the types below, so that
what follows can add, compare, encode and log it without checking it again.
"""

import re
from typing import Annotated

from msgspec import Meta

MAX_WHOLE = 1 << 53
"""Largest whole number; all readers of JSON represent it exactly."""

MAX_AMOUNT = 1e15
"""Largest number that may have a fraction."""

Whole = Annotated[int, Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)]
Count = Annotated[int, Meta(ge=0, le=MAX_WHOLE)]
Hash = Annotated[int, Meta(ge=0)]
"""A hash of 64 bits; messages hold no longer whole numbers."""

Number = Annotated[float, Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]
Amount = Annotated[float, Meta(ge=0.0, le=MAX_AMOUNT)]
"""The bounds exclude infinity and not-a-number, too."""

SHOWN_CHARS = 80
"""Characters of a malformed number that an error message shows."""

_NUMBER = re.compile(rb"(\d+\.?\d*|\.\d+)([eE][+-]?\d{1,3})?")


def parse_whole(text: bytes, most: int = MAX_WHOLE) -> int:
    """Parses a whole number of ASCII digits, 0 or more.

        >>> parse_whole(b" 17"), parse_whole(b"9" * 5000, 100)
        (17, 100)

    Args:
        text: The number, perhaps between spaces.
        most: Largest number returned; it stands for all larger ones.

    Raises:
        ValueError: if the text is no such number.
    """
    digits = text.strip(b" \t")
    # `isdigit` of bytes accepts ASCII digits only; `int` would accept "1_0".
    if not digits.isdigit():
        raise ValueError(f"{_shown(text)!r} is not a whole number, 0 or more")
    significant = digits.lstrip(b"0")
    if len(significant) > len(str(most)):
        return most
    return min(int(significant or b"0"), most)


def parse_amount(text: bytes, most: float = MAX_AMOUNT) -> float:
    """Parses a number, 0 or more, perhaps with a fraction or an exponent.

        >>> parse_amount(b"2.5"), parse_amount(b"1e300", 10.0)
        (2.5, 10.0)

    Args:
        text: The number, perhaps between spaces.
        most: Largest number returned; it stands for all larger ones.

    Raises:
        ValueError: if the text is no such number, also if it is "inf" or "nan".
    """
    stripped = text.strip(b" \t")
    if not _NUMBER.fullmatch(stripped):
        raise ValueError(f"{_shown(text)!r} is not a number, 0 or more")
    return min(float(stripped), most)


def _shown(text: bytes) -> str:
    return text[:SHOWN_CHARS].decode("latin-1")
