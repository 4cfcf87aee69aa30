"""Decodes bytes that another program wrote into a type, or raises one error.

Pure. Rows of the store, responses, datagrams and manifests are read here. A
program that writes to them by mistake must not end the reader, so whatever is
wrong with the bytes becomes a `ForeignDataError` of bounded length.
"""

from collections.abc import Callable
from typing import Annotated, Any, TypeVar

import msgspec

from jasminerelay.errors import ForeignDataError

T = TypeVar("T")

SHOWN_CHARS = 160
"""Characters of foreign text that an error message or a log line shows."""

MAX_NAME_BYTES = 256
"""Longest name, version or zone, in UTF-8, that another program may state. A
few of them fit into a datagram of one Ethernet frame."""

MAX_NESTING = 100
"""Levels of a value without a type. Encoding it again takes as many calls."""

MAX_BITS = 64
"""Bits of a whole number in a value without a type."""

Token = Annotated[
    str, msgspec.Meta(max_length=MAX_NAME_BYTES, pattern=r"^[!-~]*\Z")
]
"""A text that is valid in a header field and in a path."""

_DECODE_ERRORS = (
    msgspec.MsgspecError,
    ValueError,
    TypeError,
    OverflowError,
    RecursionError,
)
"""Errors of the decoders: malformed or of another type, not text, a key that
cannot be hashed, a number out of range, nested too deeply."""


def json_reader(kind: type[T]) -> Callable[[bytes], T]:
    """Returns a function that decodes JSON into a type.

    The function raises ForeignDataError if the bytes are malformed.
    """
    return _guarded(msgspec.json.Decoder(kind).decode)


def msgpack_reader(kind: type[T]) -> Callable[[bytes], T]:
    """Returns a function that decodes MessagePack into a type.

    The function raises ForeignDataError if the bytes are malformed.
    """
    return _guarded(msgspec.msgpack.Decoder(kind).decode)


def convert(value: Any, kind: type[T]) -> T:
    """Converts a decoded value to a type.

    Raises:
        ForeignDataError: if it is of another type.
    """
    try:
        return msgspec.convert(value, kind)
    except _DECODE_ERRORS as exc:
        raise _fault(exc) from None


def json_value(data: bytes | str) -> Any:
    """Decodes JSON whose type is not known, nested to a limited depth.

    Raises:
        ForeignDataError: if it is malformed or nested too deeply.
    """
    value = _json_value(data)
    if isinstance(data, str):
        data = data.encode()
    if data.count(b"[") + data.count(b"{") > MAX_NESTING:
        check_value(value)
    return value


def check_value(value: Any) -> None:
    """Checks a value whose type is not known, so that it can be encoded.

    Raises:
        ForeignDataError: if it is nested too deeply, or holds a whole number of
            more than 64 bits.
    """
    inner = [value]
    for _ in range(MAX_NESTING + 1):
        found: list[Any] = []
        for item in inner:
            if isinstance(item, dict):
                found += item.values()
            elif isinstance(item, list):
                found += item
            elif isinstance(item, int) and item.bit_length() > MAX_BITS:
                raise ForeignDataError(
                    f"a whole number of more than {MAX_BITS} bits"
                )
        if not found:
            return
        inner = found
    raise ForeignDataError(f"nested more than {MAX_NESTING} levels deep")


def text(data: bytes) -> str:
    """Decodes UTF-8.

    Raises:
        ForeignDataError: if it is none.
    """
    try:
        return data.decode()
    except UnicodeDecodeError as exc:
        raise _fault(exc) from None


def check_name(what: str, name: str) -> None:
    """Checks a name, which may go into log lines, fields and datagrams.

    Args:
        what: What it names.
        name: The name.

    Raises:
        ForeignDataError: if it is too long or has control characters.
    """
    if not name.isprintable():
        raise ForeignDataError(
            f"the {what} has control characters: {shown(name)}"
        )
    if len(name.encode()) > MAX_NAME_BYTES:
        raise ForeignDataError(
            f"the {what} has more than {MAX_NAME_BYTES} bytes: {shown(name)}"
        )


def shown(value: object) -> str:
    """Returns foreign text as messages show it: cut, and on one line."""
    found = str(value)
    kept = found[:SHOWN_CHARS]
    if not kept.isprintable():
        kept = kept.encode("unicode_escape").decode("ascii")[:SHOWN_CHARS]
    return kept if len(found) <= SHOWN_CHARS else f"{kept}..."


def _guarded(decode: Callable[[bytes], T]) -> Callable[[bytes], T]:
    def read(data: bytes) -> T:
        try:
            return decode(data)
        except _DECODE_ERRORS as exc:
            raise _fault(exc) from None

    return read


def _fault(exc: Exception) -> ForeignDataError:
    if isinstance(exc, RecursionError):
        return ForeignDataError("nested too deeply")
    return ForeignDataError(shown(exc))


_json_value = json_reader(Any)
